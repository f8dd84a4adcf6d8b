package tunneler_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/tunneler"
)

// checkTimeout is how long package isolator waits for the answer.
const checkTimeout = 500 * time.Millisecond

// freeze makes a daemon accept connections and answer nothing.
func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = true
}

// reach is what a daemon finds when it dials other replicas itself.
type reach bool

func (r reach) check(context.Context) (reached, others bool) { return bool(r), true }

// sole is what it finds if there are no others.
func sole(context.Context) (reached, others bool) { return false, false }

// A daemon whose peers were killed or frozen counted no crash, so that a request which crashes
// replicas was sent again and again. A daemon that is cut off itself must not count any, and a
// peer that reaches the replica contradicts.
func TestPeersThatDoNotAnswerDoNotHideACrash(t *testing.T) {
	for name, row := range map[string]struct {
		// zone and elsewhere are the numbers of peers, of which the first ones given by killed
		// and frozen do not answer.
		zone, elsewhere, killed, frozen int
		// gone is set if no process listens at the replica's address, as peers see it.
		gone    bool
		reaches reach
		ended   bool
	}{
		"killed":                                    {zone: 2, killed: 2, reaches: true, ended: true},
		"frozen":                                    {zone: 2, frozen: 2, reaches: true, ended: true},
		"killed and frozen, in two zones":           {zone: 4, elsewhere: 2, killed: 3, frozen: 3, reaches: true, ended: true},
		"killed, and nothing is reached":            {zone: 2, killed: 2},
		"frozen, and nothing is reached":            {zone: 2, frozen: 2},
		"one is killed and one contradicts":         {zone: 2, killed: 1, reaches: true},
		"three are frozen and one contradicts":      {zone: 4, frozen: 3, reaches: true},
		"three are killed and one contradicts":      {zone: 4, killed: 3, reaches: true},
		"the zone is killed and another one speaks": {zone: 2, elsewhere: 1, killed: 2, reaches: true},
		"three are frozen and one is refused":       {zone: 4, frozen: 3, gone: true, ended: true},
		"there are none":                            {reaches: true, ended: true},
		"there are none, and nothing is reached":    {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newMemoryFixture(t, row.zone, row.elsewhere)
				for i, n := range append(f.network.zone, f.network.elsewhere...) {
					if row.gone {
						n.dialError = syscall.ECONNREFUSED
					}
					switch {
					case i < row.killed:
						n.kill()
					case i < row.killed+row.frozen:
						n.freeze()
					}
				}
				u := f.tunneler()
				for range 5 { // Peers that failed a moment ago are asked all the same.
					ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
					is.Equal(u.Ended(ctx, f.replica, row.reaches.check), row.ended)
					is.NoErr(ctx.Err())
					cancel()
				}
			})
		})
	}
}

// An answer of a peer that is cut off itself was asked for only once in half a second, and in
// between it counted as if there were no peers to contradict.
func TestAPeerThatCannotTellIsNoSilence(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 0)
	for _, n := range f.network.zone {
		n.cut = true
	}
	u := f.tunneler()
	for range 5 {
		is.True(!u.Ended(context.Background(), f.replica, reach(true).check))
	}
}

// A check that was canceled counted a crash.
func TestACanceledCheckCountsNoCrash(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 0)
	for _, n := range f.network.zone {
		n.freeze()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(!f.tunneler().Ended(ctx, f.replica, reach(true).check))
}

// The crash of the only replica counted for a daemon that was cut off from its peers, or not
// at all without peers.
func TestTheOnlyReplica(t *testing.T) {
	is := is.New(t)
	is.True(newFixture(t, 0, 0).tunneler().Ended(context.Background(), newFixture(t, 0, 0).replica, sole))
	f := newFixture(t, 2, 0)
	for _, n := range f.network.zone {
		n.kill()
	}
	is.True(!f.tunneler().Ended(context.Background(), f.replica, sole))
}

// foreign is a process that listens at the address of a killed peer, and answers in its own way.
type foreign struct {
	listener net.Listener
	answer   string
}

func (f foreign) run() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, f.answer)
		_ = c.Close()
	}
}

// Another process at the address of a killed peer, or a connection of the dialer to itself,
// counted as a peer that can't tell, and hid a crash.
func TestAnAnswerThatIsNoStatusIsSilence(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 400 Bad Request", `{"id":"me.1","replica":"r"}`, "\x00", "\xff"} {
		t.Run(answer, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 2, 0)
			for i, n := range f.network.zone {
				n.kill()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				t.Cleanup(func() { _ = l.Close() })
				f.network.zone[i] = &node{name: n.name, listener: l}
				go foreign{l, answer}.run()
			}
			is.True(f.tunneler().Ended(context.Background(), f.replica, reach(true).check))
		})
	}
}

// A daemon that waited for a processor until the timeout passed over answers that were there, and
// counted a crash that a peer contradicts, or missed one.
func TestAnswersAtTheTimeoutCount(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 0, 0)
	u := f.tunneler()
	for range 64 { // Each time either event may be found first.
		is.True(tunneler.ContradictedAtTimeout(u, f.replica))
	}
}
