package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/relayer"
)

// readPeriod is the time between two reads of the registry.
const readPeriod = 700 * time.Millisecond

// reader reads the registry for one daemon.
type reader struct {
	relayer *relayer.Relayer
	// from and until are the time of a gap in its reads, and lost is set if they failed then.
	from, until time.Duration
	lost        bool
}

func (r *reader) run(ctx context.Context, start time.Time) {
	for lost := false; ctx.Err() == nil; time.Sleep(readPeriod) {
		switch d := time.Since(start); {
		case d < r.from || d >= r.until:
			r.relayer.RegistryRead()
			lost = false
		case r.lost && !lost:
			r.relayer.RegistryLost()
			lost = true
		}
	}
}

// Replicas whose rows were gone were used after the cut of one daemon, or replicas were
// dropped because of an outage of the store that only some daemons noticed.
func TestPeersTellOwnCutsFromOutagesOfTheRegistry(t *testing.T) {
	const never = 0
	s := time.Second
	for name, row := range map[string]struct {
		// peers are the gaps of the other daemons. This daemon's is from 10 s to 17 s.
		peers []reader
		want  bool
	}{
		"none lost it":                        {[]reader{{}, {}}, true},
		"both lost it":                        {[]reader{{nil, 12 * s, 16 * s, true}, {nil, 12 * s, 16 * s, true}}, false},
		"one lost it":                         {[]reader{{nil, 12 * s, 16 * s, true}, {}}, false},
		"both are without it now":             {[]reader{{nil, 12 * s, 60 * s, true}, {nil, 12 * s, 60 * s, true}}, false},
		"one lost it before":                  {[]reader{{nil, 2 * s, 5 * s, true}, {}}, true},
		"both lost it before":                 {[]reader{{nil, 2 * s, 5 * s, true}, {nil, 2 * s, 5 * s, true}}, true},
		"one has started":                     {[]reader{{nil, never, 14 * s, false}, {}}, true},
		"both have started":                   {[]reader{{nil, never, 14 * s, false}, {nil, never, 14 * s, false}}, false},
		"both have started in an outage":      {[]reader{{nil, never, 14 * s, true}, {nil, never, 14 * s, true}}, false},
		"both were frozen":                    {[]reader{{nil, 11 * s, 15 * s, false}, {nil, 11 * s, 15 * s, false}}, false},
		"an outage that began during the cut": {[]reader{{nil, 15 * s, 17 * s, true}, {nil, 15 * s, 17 * s, true}}, false},
		"there are none":                      {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newZone(t)
				defer z.stop()
				for _, kill := range z.kills[len(row.peers)+1:] {
					kill()
				}
				ctx, cancel := context.WithCancel(z.ctx)
				defer cancel()
				start := time.Now()
				for i, p := range row.peers {
					p.relayer = z.relayers[i+1]
					go (&p).run(ctx, start)
				}
				time.Sleep(17*s + readPeriod + time.Millisecond)
				asked := time.Now()
				is.Equal(z.relayers[0].ConfirmRegistry(ctx, start.Add(10*s), asked), row.want)
				is.True(time.Since(asked) <= 300*time.Millisecond)
			})
		})
	}
}

// A daemon of the previous build does not know the question, and one that is cut off or frozen
// does not answer. The question took longer, or broke the calls of others.
func TestPeersThatCannotTellConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		ctx := context.Background()
		start := time.Now()
		secret, err := z.store.Get(ctx, "relay/shared/secret")
		is.NoErr(err)
		s := messenger.NewServer(string(secret.Value))
		is.NoErr(s.Register("Relay", Relay{}))
		l, err := z.network.listen(t.Context(), "old")
		is.NoErr(err)
		s.Start(z.ctx, l)
		_, err = z.store.Commit(ctx, write("members-z/peers/old", `{"address":"old"}`))
		is.NoErr(err)
		z.network.setCut("b", true)
		z.network.setCut("c", true)
		time.Sleep(10 * time.Second)
		asked := time.Now()
		is.True(!z.relayers[0].ConfirmRegistry(ctx, start, asked))
		is.True(time.Since(asked) <= 300*time.Millisecond)
	})
}

// steadyRelay is the service of a daemon that has read the registry for long.
type steadyRelay struct{}

// RegistryContact tells for how long.
func (steadyRelay) RegistryContact(_ relayer.ContactRequest, r *relayer.ContactReply) error {
	r.Contact = time.Hour
	return nil
}

// A daemon whose zone is without others that can tell asked none of the other zones.
func TestPeersOfOtherZonesConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t) // The two others have not read the registry.
		defer z.stop()
		ctx := context.Background()
		secret, err := z.store.Get(ctx, "relay/shared/secret")
		is.NoErr(err)
		s := messenger.NewServer(string(secret.Value))
		is.NoErr(s.Register("Relay", steadyRelay{}))
		l, err := z.network.listen(t.Context(), "far")
		is.NoErr(err)
		s.Start(z.ctx, l)
		_, err = z.store.Commit(ctx, write("members-y/peers/far", `{"address":"far"}`))
		is.NoErr(err)
		for _, cut := range []bool{false, true} { // They answer that they can't tell, or nothing.
			z.network.setCut("b", cut)
			z.network.setCut("c", cut)
			asked := time.Now()
			is.True(z.relayers[0].ConfirmRegistry(ctx, asked.Add(-5*time.Second), asked))
			is.True(time.Since(asked) <= 300*time.Millisecond)
		}
	})
}

// One peer of the zone was cut off itself shortly before, and its answer against one other kept
// the grace period, although daemons of other zones had read the registry throughout.
func TestPeersOfOtherZonesDecideBetweenTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		ctx, cancel := context.WithCancel(z.ctx)
		defer cancel()
		secret, err := z.store.Get(ctx, "relay/shared/secret")
		is.NoErr(err)
		s := messenger.NewServer(string(secret.Value))
		is.NoErr(s.Register("Relay", steadyRelay{}))
		l, err := z.network.listen(t.Context(), "far")
		is.NoErr(err)
		s.Start(z.ctx, l)
		start := time.Now()
		go (&reader{relayer: z.relayers[1]}).run(ctx, start)
		go (&reader{relayer: z.relayers[2], from: 4 * time.Second, until: 11 * time.Second, lost: true}).run(ctx, start)
		time.Sleep(17*time.Second + readPeriod + time.Millisecond)
		asked := time.Now()
		is.True(!z.relayers[0].ConfirmRegistry(ctx, start.Add(10*time.Second), asked)) // Nobody else knows.
		_, err = z.store.Commit(ctx, write("members-y/peers/far", `{"address":"far"}`))
		is.NoErr(err)
		time.Sleep(30 * time.Second) // The list of the other zones is read again.
		z.relayers[0].Elsewhere(ctx)
		time.Sleep(time.Second)
		is.True(z.relayers[0].ConfirmRegistry(ctx, start.Add(10*time.Second), time.Now()))
	})
}

// What a peer reads through another one counted as its own contact, or a contact that ended
// long ago as one that lasts.
func TestContact(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	for name, row := range map[string]struct {
		steps func(c *relayer.Contact)
		want  relayer.ContactReply
	}{
		"nothing was read":         {func(*relayer.Contact) {}, relayer.ContactReply{}},
		"the first read failed":    {func(c *relayer.Contact) { c.Lose() }, relayer.ContactReply{Lost: true}},
		"read":                     {func(c *relayer.Contact) { c.Read(at(8), true); c.Read(at(9), true) }, relayer.ContactReply{Contact: 2 * time.Second}},
		"read after a failure":     {func(c *relayer.Contact) { c.Lose(); c.Read(at(9), true) }, relayer.ContactReply{Contact: time.Second, Lost: true}},
		"read through a peer":      {func(c *relayer.Contact) { c.Read(at(8), true); c.Read(at(9), false) }, relayer.ContactReply{Lost: true}},
		"failed":                   {func(c *relayer.Contact) { c.Read(at(9), true); c.Lose() }, relayer.ContactReply{Lost: true}},
		"not read for long":        {func(c *relayer.Contact) { c.Read(at(7), true) }, relayer.ContactReply{}},
		"frozen for a while":       {func(c *relayer.Contact) { c.Read(at(5), true); c.Read(at(9), true) }, relayer.ContactReply{Contact: time.Second}},
		"frozen, and failed once":  {func(c *relayer.Contact) { c.Lose(); c.Read(at(5), true); c.Read(at(9), true) }, relayer.ContactReply{Contact: time.Second}},
		"read slowly all the time": {func(c *relayer.Contact) { c.Read(at(5), true); c.Read(at(7), true); c.Read(at(9), true) }, relayer.ContactReply{Contact: 5 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c relayer.Contact
			row.steps(&c)
			is.Equal(c.Reply(at(10)), row.want)
		})
	}
}

// Answers that say nothing about the end of the time, or none at all, confirmed it.
func TestTheDecisionNeedsAContactThroughout(t *testing.T) {
	start := time.Unix(1000, 0)
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	long, short, lost := relayer.ContactReply{Contact: 20 * time.Second}, relayer.ContactReply{Contact: 5 * time.Second}, relayer.ContactReply{Lost: true}
	back := relayer.ContactReply{Contact: 5 * time.Second, Lost: true}
	is := is.New(t)
	confirms := func(at int, list ...relayer.ContactReply) bool {
		return relayer.ConfirmsRegistry(list, second(at), second(10), second(20))
	}
	is.True(!confirms(20))
	is.True(confirms(20, long))
	is.True(confirms(20, long, short, relayer.ContactReply{}))
	is.True(!confirms(20, short))
	is.True(!confirms(20, long, lost))
	is.True(!confirms(20, back, long))
	is.True(confirms(20, long, back, long)) // One was cut off itself before.
	is.True(!confirms(20, long, back, long, lost))
	is.True(!confirms(19, long))
	is.True(!confirms(31, long)) // Its contact began after this daemon's ended.
}
