package granter

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/scoper"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// coordinatorTimeout bounds a call to the coordinator. It is many times what a store
	// read, a store write and the round trip take. After it, this daemon opens the turn.
	coordinatorTimeout = 300 * time.Millisecond
	// replyMargin is the part of coordinatorTimeout that is left for the reply, so that a
	// coordinator that waits for the store is not mistaken for an unresponsive one.
	replyMargin = 40 * time.Millisecond
	// expirePeriod is the interval between two scans for grants that were never closed.
	expirePeriod = time.Second
	// expireMargin is the time from the end of a request until the tokens of its unclosed
	// grant count as spent.
	expireMargin = 5 * time.Second
	// drainPoll is the time between two looks at the number of close calls.
	drainPoll = 10 * time.Millisecond
)

// Turn describes a turn to open: the history that it continues and the tokens to reserve.
type Turn struct {
	ID      string
	Program string
	// Parent is the id of the turn that it continues; empty for none.
	Parent string
	// History is set if the turn has a history, which is loaded and persisted.
	History bool
	// Budget is the program's budget and Tokens the number of tokens that the turn may
	// generate. Tokens is zero for a turn without a budget.
	Budget, Tokens int
	// Lasts is the time remaining until the request's deadline.
	Lasts time.Duration
}

// Options are the settings of a Granter.
type Options struct {
	// VM is the name of this VM and stays the same over restarts. Coordinators are picked
	// by it, so that a restart assigns no program to another one. Name is the name of this
	// process, which no earlier or later process has.
	VM, Name string
	// Elsewhere returns the daemons of other zones, which may hold tokens of a program that
	// has moved to this one; nil for none.
	Elsewhere func(ctx context.Context) []assigner.Peer
}

// Granter opens and closes turns on behalf of one daemon.
type Granter struct {
	options       Options
	turns         *archivist.Archivist
	budgets       *budgeter.Budgeter
	logger        *logger.Logger
	peers         assigner.Peers
	coordinators  *assigner.Assigner
	grants        grants
	recalls       recaller
	tomb          *tomb.Tomb
	leaving       atomic.Bool
	sequence      atomic.Int64
	pendingCloses atomic.Int64

	asked, missed, served atomic.Int64
}

// Start returns a granter that runs until the context ends; peers may be nil.
func Start(ctx context.Context, turns *archivist.Archivist, budgets *budgeter.Budgeter, peers assigner.Peers, r *logger.Logger, o Options) *Granter {
	s := &Granter{options: o, turns: turns, budgets: budgets, peers: peers, coordinators: assigner.New(o.VM, peers), logger: r}
	s.tomb, _ = tomb.WithContext(ctx)
	s.recalls.peers, s.recalls.elsewhere, s.recalls.tomb = peers, o.Elsewhere, s.tomb
	s.tomb.Go(supervisor.Loop(s.tomb, "granter: expiry", s.run))
	return s
}

// Counts returns the number of turns for which other coordinators were asked, the
// number of those that were opened here as a fallback, and the number of turns opened
// here for other daemons.
func (s *Granter) Counts() (asked, missed, served int64) {
	return s.asked.Load(), s.missed.Load(), s.served.Load()
}

// Leave stops opening turns for other daemons, in preparation for a planned stop.
func (s *Granter) Leave() { s.leaving.Store(true) }

// Drain waits until the close calls to other coordinators are over or the context ends.
// Requests in progress may begin others meanwhile, which a sync.WaitGroup does not allow.
func (s *Granter) Drain(ctx context.Context) {
	for s.pendingCloses.Load() > 0 {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return
		}
	}
}

// run counts the tokens of grants that were not closed in time as spent.
func (s *Granter) run() error {
	for {
		select {
		case <-time.After(expirePeriod):
			for _, g := range s.grants.expire(time.Now()) {
				s.logger.Event("steward", "grant expired").Str("program", g.program).Int("tokens", g.tokens).End()
				s.budgets.Finish(g.program, g.tokens, g.tokens)
			}
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// Check returns archivist.ErrTooLarge if a turn that begins with a request of inputBytes can
// never be stored.
func (s *Granter) Check(t Turn, inputBytes int) error { return s.turns.Check(t.Parent, inputBytes) }

// Open returns a grant for a turn. archivist.ErrNoTurn and budgeter.ErrExhausted are
// definite; any other error leaves open whether the turn exists and the budget suffices.
func (s *Granter) Open(ctx context.Context, t Turn) (*Grant, error) {
	if coordinator, ok := s.coordinators.Of(t.Program); ok && t.Program != "" {
		s.asked.Add(1)
		if g, err := s.openAtCoordinator(ctx, coordinator, t); g != nil || err != nil {
			return g, err
		}
		s.missed.Add(1)
	}
	chain, err := s.openLocally(ctx, t, true)
	if err != nil {
		return nil, err
	}
	return &Grant{granter: s, turn: t, chain: chain}, nil
}

// openLocally opens a turn on this daemon: it reads the history and reserves the tokens
// concurrently. With recall, it asks the holders of unused tokens before it denies the turn.
func (s *Granter) openLocally(ctx context.Context, t Turn, recall bool) (*archivist.Chain, error) {
	h := &historyRead{turns: s.turns, parent: t.Parent, done: make(chan struct{})}
	switch {
	case t.History && t.Tokens > 0:
		go h.run(ctx)
	case t.History:
		h.run(ctx)
	}
	var err error
	if t.Tokens > 0 {
		err = errors.WithMessage(s.reserve(ctx, t, recall), "reserve budget")
	}
	if !t.History {
		return nil, err
	}
	<-h.done
	if h.err == nil && err == nil {
		return h.chain, nil
	}
	h.chain.Release()
	if t.Tokens > 0 && err == nil {
		s.budgets.Finish(t.Program, t.Tokens, 0)
	}
	if h.err != nil {
		// The history's error takes precedence: a turn never runs without its history.
		err = errors.WithMessage(h.err, "read history")
	}
	return nil, err
}

// reserve reserves a turn's tokens.
func (s *Granter) reserve(ctx context.Context, t Turn, recall bool) (err error) {
	// The caller releases the history after an error.
	defer supervisor.Return("granter: reservation", &err)
	began := time.Now()
	err = s.budgets.Reserve(ctx, t.Program, t.Budget, t.Tokens)
	var d *budgeter.Denial
	if !recall || !errors.As(err, &d) {
		return err
	}
	changed, recallErr := s.recalls.recall(ctx, t.Program, d.Processes(), began)
	switch {
	case recallErr != nil:
		return recallErr
	case changed:
		return s.budgets.Reserve(ctx, t.Program, t.Budget, t.Tokens)
	}
	return err
}

// historyRead reads the history that ends with the turn parent.
type historyRead struct {
	turns  *archivist.Archivist
	parent string
	done   chan struct{}
	chain  *archivist.Chain
	err    error
}

func (h *historyRead) run(ctx context.Context) {
	defer close(h.done)
	defer supervisor.Return("granter: read of a history", &h.err)
	h.chain, h.err = h.turns.Chain(ctx, h.parent)
}

// openAtCoordinator opens a turn at the program's coordinator. It returns neither a grant
// nor an error if this daemon should open the turn itself.
func (s *Granter) openAtCoordinator(ctx context.Context, coordinator assigner.Peer, t Turn) (*Grant, error) {
	id := s.options.Name + "." + strconv.FormatInt(s.sequence.Add(1), 10)
	q := OpenRequest{ID: id, Turn: t, Left: coordinatorTimeout - replyMargin, ReadsHistory: true}
	cached, ok := s.turns.CachedChain(t.Parent)
	granted := false
	defer func() {
		if !granted || !t.History {
			cached.Release()
		}
	}()
	if ok {
		q.Turn.History = false
	}
	var r OpenReply
	if q.Turn.History || t.Tokens > 0 {
		var err error
		if r, err = s.callOpen(ctx, coordinator, q); err == nil && r.Recallable {
			q.Recall, q.Left = true, q.Left+recallTimeout
			r, err = s.callOpen(ctx, coordinator, q)
		}
		switch {
		case err != nil || r.Outcome == Closed:
			return nil, s.coordinatorFailed(ctx, coordinator, id, t, err)
		case r.Outcome == Refused && r.Throttled:
			s.coordinators.Answered(coordinator.Address)
			return nil, errors.WithMessagef(storer.ErrThrottled, "open turn at coordinator %s", coordinator.Name)
		case r.Outcome == Refused:
			return nil, nil
		}
		s.coordinators.Answered(coordinator.Address)
	}
	switch {
	case r.Outcome == NoTurn && scoper.IsScoped(t.Parent):
		// A coordinator of the previous build does not find the rows of scoped ids.
		return nil, nil
	case r.Outcome == NoTurn:
		return nil, errors.WithMessagef(archivist.ErrNoTurn, "read history at coordinator %s", coordinator.Name)
	case r.Outcome == Exhausted:
		return nil, errors.WithMessagef(budgeter.ErrExhausted, "reserve budget at coordinator %s", coordinator.Name)
	}
	g := &Grant{granter: s, turn: t, coordinator: coordinator, id: id}
	granted = true
	switch {
	case t.History && ok:
		g.chain = cached
	case r.HistoryOmitted:
		var err error
		if g.chain, err = s.turns.Chain(ctx, t.Parent); err != nil {
			g.Close(0)
			return nil, errors.WithMessage(err, "read history")
		}
	case t.History:
		g.chain = archivist.NewChain(r.Turns)
	}
	return g, nil
}

// callOpen sends a request to the program's coordinator.
func (s *Granter) callOpen(ctx context.Context, coordinator assigner.Peer, q OpenRequest) (r OpenReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, q.Left+replyMargin)
	defer cancel()
	err = s.peers.Call(ctx, coordinator.Address, openMethod, q, &r)
	return r, err
}

// coordinatorFailed records that a coordinator did not open a turn, and cancels the
// grant if the coordinator may have made it. It returns nil if this daemon should open the
// turn itself, and an error if ctx has ended.
func (s *Granter) coordinatorFailed(ctx context.Context, coordinator assigner.Peer, id string, t Turn, err error) error {
	if ctx.Err() != nil {
		s.cancelGrant(coordinator, id, t)
		return errors.Wrap(ctx.Err(), "open turn at coordinator")
	}
	if s.coordinators.Failed(coordinator.Address) {
		// Steward and home mean granter and coordinator; see ServiceName.
		s.logger.Event("steward", "home left").Str("home", coordinator.Name).Str("id", t.ID).Err(err).End()
	}
	if err != nil && !errors.Is(err, messenger.ErrNotSent) {
		s.cancelGrant(coordinator, id, t)
	}
	return nil
}

// cancelGrant returns the tokens of a grant that a coordinator may have made.
func (s *Granter) cancelGrant(coordinator assigner.Peer, id string, t Turn) {
	(&Grant{granter: s, turn: t, coordinator: coordinator, id: id}).Close(0)
}
