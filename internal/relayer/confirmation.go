package relayer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	contactMethod = serviceName + ".RegistryContact"
	// confirmTimeout bounds the question whether the registry's rows were correct meanwhile.
	confirmTimeout = 300 * time.Millisecond
	// elsewhereDelay is how long the peers of the zone may be silent until those of other
	// zones are asked too. A peer in the region answers within a few milliseconds.
	elsewhereDelay = 120 * time.Millisecond
	// maxConfirming bounds the peers of the zone that are asked, and as many of other zones.
	maxConfirming = 4
)

// confirmation asks peers whether they read the registry while this daemon could not. It uses
// connections of its own: those that are open may be broken after a cut, and a daemon of the
// previous build, which does not know the method, would break others' calls on them.
type confirmation struct {
	relayer *Relayer
	pool    *messenger.Pool
	// begin and end are those of the time in question.
	begin, end time.Time
	// answers receives an answer of each peer that was asked, nil from one that gave none.
	answers chan *contactAnswer
	others  chan []assigner.Peer
}

// ConfirmRegistry reports whether the registry was up while this daemon could not read it, as
// far as peers tell within 300 ms. If it returns false, nothing is known.
func (x *Relayer) ConfirmRegistry(ctx context.Context, begin, end time.Time) bool {
	secret := x.known.Load()
	if secret == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	c := &confirmation{
		relayer: x, pool: messenger.NewPool(x.options.Dial, *secret), begin: begin, end: end, answers: make(chan *contactAnswer, 2*maxConfirming), others: make(chan []assigner.Peer, 1),
	}
	defer c.pool.Close()
	list := c.run(ctx)
	confirmed := confirmsRegistry(list, begin, end)
	x.logger.Event("relayer", "registry compared").Dur("away", end.Sub(begin)).Int("answers", len(list)).Bool("confirmed", confirmed).End()
	return confirmed
}

// run returns the answers of peers of the zone, or of other zones as well if they don't tell or
// contradict each other.
func (c *confirmation) run(ctx context.Context) []contactAnswer {
	var list []contactAnswer
	pending := c.ask(ctx, c.relayer.Others())
	further, asked := time.After(elsewhereDelay), false
	for {
		if pending == 0 && !asked && !c.decided(list) {
			asked = true
			go c.findOthers(ctx)
		} else if pending == 0 && c.decided(list) {
			return list
		}
		select {
		case a := <-c.answers:
			pending--
			if a != nil {
				list = append(list, *a)
			}
		case <-further:
			if !asked && !c.decided(list) {
				asked = true
				go c.findOthers(ctx)
			}
		case others := <-c.others:
			if pending += c.ask(ctx, others); pending == 0 {
				return list
			}
		case <-ctx.Done():
			return list
		}
	}
}

// decided reports whether one of the answers is more than that the peer can't tell, and the
// answers don't contradict each other.
func (c *confirmation) decided(list []contactAnswer) bool {
	if isContested(list, c.begin, c.end) {
		return false
	}
	return slices.ContainsFunc(list, func(a contactAnswer) bool { return a.reply != (ContactReply{}) })
}

// findOthers finds the daemons of other zones, which may take a call to the store.
func (c *confirmation) findOthers(ctx context.Context) {
	var list []assigner.Peer
	defer func() { c.others <- list }()
	defer supervisor.Recover("relayer: daemons of other zones")
	list = c.relayer.Elsewhere(ctx)
}

// ask asks some of the peers and returns their number.
func (c *confirmation) ask(ctx context.Context, peers []assigner.Peer) int {
	n := 0
	for _, i := range rand.Perm(len(peers))[:min(len(peers), maxConfirming)] {
		go contactCall{c, peers[i]}.run(ctx)
		n++
	}
	return n
}

// contactCall asks one peer.
type contactCall struct {
	confirmation *confirmation
	peer         assigner.Peer
}

func (c contactCall) run(ctx context.Context) {
	var answered *contactAnswer
	defer func() { c.confirmation.answers <- answered }()
	defer supervisor.Recover("relayer: call of a peer")
	a := &contactAnswer{askedAt: time.Now()}
	if err := c.confirmation.pool.Call(ctx, c.peer.Address, contactMethod, ContactRequest{}, &a.reply); err == nil {
		a.answeredAt = time.Now()
		answered = a
	}
}
