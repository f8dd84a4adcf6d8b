package tunneler

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// inquiryTimeout bounds an inquiry. Package isolator waits 500 ms for the result, and this
	// daemon's own connection comes before it.
	inquiryTimeout = 300 * time.Millisecond
	// hedgeDelay is how long the first peers may be silent until further ones are asked, too.
	// A peer in the region answers within a few milliseconds.
	hedgeDelay = 100 * time.Millisecond
)

// inquiry asks peers whether they reach a replica. It asks a few at the same time, and as many
// others if none of them answers.
type inquiry struct {
	tunneler *Tunneler
	header   header
	reaches  Reach
	answers  chan answer
	reached  chan reached
}

// Reach reports whether a daemon reaches replicas itself, other than the one in question, and
// whether there are any.
type Reach func(context.Context) (reached, others bool)

// reached is the result of a Reach.
type reached struct{ reached, others bool }

// answer is what one peer said. Its status is not valid if there is an error.
type answer struct {
	peer   assigner.Peer
	status status
	err    error
}

func newInquiry(t *Tunneler, h header, reaches Reach) *inquiry {
	return &inquiry{tunneler: t, header: h, reaches: reaches, answers: make(chan answer, rounds*(maxOwnZone+maxElsewhere)), reached: make(chan reached, 1)}
}

// run returns what was found once nothing further can change it, or at the timeout.
func (q *inquiry) run(ctx context.Context, zone, elsewhere []assigner.Peer) evidence {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	e := evidence{peers: len(zone) + len(elsewhere), answers: map[status]int{}}
	asked := q.tunneler.candidates.rounds(zone, elsewhere, time.Now())
	pending, checked := q.ask(ctx, asked[0]), false
	hedge := time.After(hedgeDelay) // Nil once it is not needed.
	for {
		if hedge != nil && pending == 0 && e.silent() {
			hedge, pending = nil, q.askFurther(ctx, asked[1])
		}
		if e.contradicted() || pending == 0 && (checked || !e.silent()) {
			return e
		}
		select {
		case a := <-q.answers:
			pending--
			q.note(&e, a)
		case <-hedge:
			hedge = nil
			if e.silent() {
				pending += q.askFurther(ctx, asked[1])
			}
		case r := <-q.reached:
			e.reaches, e.others, checked = r.reached, r.others, true
		case <-ctx.Done():
			q.collect(&e)
			return e
		}
	}
}

// collect adds what was found before the timeout and not noted yet. A daemon that waited for a
// processor finds the answers and the timeout at the same moment.
func (q *inquiry) collect(e *evidence) {
	for {
		select {
		case a := <-q.answers:
			q.note(e, a)
		case r := <-q.reached:
			e.reaches, e.others = r.reached, r.others
		default:
			return
		}
	}
}

// askFurther asks more peers, none of which may answer either, and checks meanwhile whether
// this daemon is cut off itself.
func (q *inquiry) askFurther(ctx context.Context, peers []assigner.Peer) int {
	go q.check(ctx)
	return q.ask(ctx, peers)
}

// ask asks peers and returns their number.
func (q *inquiry) ask(ctx context.Context, peers []assigner.Peer) int {
	for _, p := range peers {
		go question{q, p}.run(ctx)
	}
	return len(peers)
}

// check finds out whether this daemon reaches another replica.
func (q *inquiry) check(ctx context.Context) {
	var r reached
	defer func() { q.reached <- r }()
	defer supervisor.Recover("tunneler: check of own links")
	r.reached, r.others = q.reaches(ctx)
}

// note adds an answer to the evidence.
func (q *inquiry) note(e *evidence, a answer) {
	if a.err == nil {
		e.answers[a.status]++
	}
	if a.err != nil || a.status == cutOff || a.status == busy {
		q.tunneler.candidates.avoid(a.peer.Address, time.Now())
	}
}

// question asks one peer.
type question struct {
	inquiry *inquiry
	peer    assigner.Peer
}

func (q question) run(ctx context.Context) {
	a := answer{peer: q.peer}
	a.err = supervisor.Do("tunneler: question to a peer", func() (err error) {
		a.status, err = q.ask(ctx)
		return err
	})
	q.inquiry.answers <- a
}

func (q question) ask(ctx context.Context) (status, error) {
	c, s, err := q.inquiry.tunneler.open(ctx, q.peer, q.inquiry.header)
	if c != nil {
		_ = c.Close()
	}
	return s, err
}
