package granter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// recallTimeout bounds a round. Holders that are dead, frozen or cut off keep what they
	// reserved in advance, and the turn is decided without it.
	recallTimeout = 300 * time.Millisecond
	// lookupTimeout is the part of recallTimeout in which the list of the daemons of other
	// zones may be read anew. After it, the older list is used.
	lookupTimeout = 100 * time.Millisecond
	// maxRecalled bounds the daemons that are asked in one round, those that hold the most
	// first.
	maxRecalled = 32
)

// recaller asks the daemons that hold unused tokens of a program to return them, before a
// turn is denied.
type recaller struct {
	peers assigner.Peers
	// elsewhere returns the daemons of other zones; it may be nil.
	elsewhere func(ctx context.Context) []assigner.Peer
	tomb      *tomb.Tomb

	mu     sync.Mutex
	rounds rounds
}

// mayRecall reports whether a round could help a turn that was denied by a row that was read
// after readAt.
func (r *recaller) mayRecall(program string, processes []string, readAt time.Time) bool {
	if r.peers == nil || len(processes) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rounds.mayBegin(program, readAt, time.Now())
}

// recall asks the processes to return unused tokens of the program, or waits for the round in
// progress. It reports whether the row may have changed since readAt; an error means that the
// context ended before that was known.
func (r *recaller) recall(ctx context.Context, program string, processes []string, readAt time.Time) (changed bool, err error) {
	if r.peers == nil || len(processes) == 0 {
		return false, nil
	}
	r.mu.Lock()
	shared, started := r.rounds.begin(program, readAt, time.Now())
	r.mu.Unlock()
	if shared == nil {
		return false, nil
	}
	if started {
		c := &recall{recaller: r, program: program, round: shared, unknown: map[string]bool{}}
		for _, p := range processes[:min(len(processes), maxRecalled)] {
			c.unknown[p] = true
		}
		go c.run()
	}
	select {
	case <-shared.done:
		return shared.changed, nil
	case <-ctx.Done():
		return false, errors.Wrapf(storer.ErrUnavailable, "the context ended before the holders of tokens of program %q had answered", program)
	}
}

// end ends a round.
func (r *recaller) end(x *round, changed bool) {
	r.mu.Lock()
	x.endedAt, x.changed = time.Now(), changed
	r.mu.Unlock()
	close(x.done)
}

// recall is one round in progress. It goes on if the turn that started it is canceled, since
// other turns of the program wait for it.
type recall struct {
	recaller *recaller
	program  string
	round    *round
	// unknown are the processes that hold tokens and have not been found among the daemons.
	unknown map[string]bool
}

func (c *recall) run() {
	// A holder whose reply is missing may have returned tokens.
	changed := true
	defer func() { c.recaller.end(c.round, changed) }()
	defer supervisor.Recover("granter: recall of tokens")
	changed = c.collect()
}

// collect asks the holders, and reports whether the program's row may have changed.
func (c *recall) collect() bool {
	ctx, cancel := context.WithTimeout(c.recaller.tomb.Context(nil), recallTimeout)
	defer cancel()
	results := make(chan bool, maxRecalled)
	calls := c.ask(ctx, c.recaller.peers.Others(), results)
	if len(c.unknown) > 0 && c.recaller.elsewhere != nil {
		lookupCtx, stop := context.WithTimeout(ctx, lookupTimeout)
		calls += c.ask(ctx, c.recaller.elsewhere(lookupCtx), results)
		stop()
	}
	changed := false
	for range calls {
		select {
		case r := <-results:
			changed = changed || r
		case <-ctx.Done():
			return true
		}
	}
	return changed
}

// ask calls the peers that run processes of the round, and returns their number. A process
// that no daemon runs has ended, or is of a build that does not return tokens.
func (c *recall) ask(ctx context.Context, peers []assigner.Peer, results chan<- bool) int {
	calls := 0
	for _, p := range peers {
		if !c.unknown[p.Process] {
			continue
		}
		delete(c.unknown, p.Process)
		calls++
		go (&returnCall{recall: c, holder: p, result: results}).run(ctx)
	}
	return calls
}

// returnCall asks one daemon to return unused tokens.
type returnCall struct {
	recall *recall
	holder assigner.Peer
	// result receives whether the program's row may have changed.
	result chan<- bool
}

func (c *returnCall) run(ctx context.Context) {
	changed := true
	defer func() { c.result <- changed }()
	defer supervisor.Recover("granter: return call")
	deadline, _ := ctx.Deadline()
	var reply ReturnReply
	q := ReturnRequest{Program: c.recall.program, Left: time.Until(deadline) - replyMargin}
	err := c.recall.recaller.peers.Call(ctx, c.holder.Address, returnMethod, q, &reply)
	changed = reply.Changed || err != nil && !errors.Is(err, messenger.ErrNotSent)
}
