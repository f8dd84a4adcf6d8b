package steward

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/linker"
	"pimentorail.example/pimentorail/internal/recorder"
)

const (
	// homePatience is how long the home may take: a read and a write of the store
	// and the way, many times over. After it the rows are used directly.
	homePatience = 150 * time.Millisecond
	// expirePeriod is the time between two looks for grants that were never closed.
	expirePeriod = time.Second
	// expireMargin is how long after its request's end a grant counts as spent.
	expireMargin = 5 * time.Second
)

// Turn is what a turn needs before it may run.
type Turn struct {
	ID      string
	Program string
	// Parent is the turn that it continues; empty for none.
	Parent string
	// History says that the turn's history is kept.
	History bool
	// Budget is the program's budget and Tokens what the turn may generate; zero
	// tokens for a turn without a budget.
	Budget, Tokens int
	// Lasts is the time until the request ends at the latest.
	Lasts time.Duration
}

// Options are the settings of a Steward.
type Options struct {
	// Node names this VM, and Name this process and none before or after it.
	Node, Name string
}

// Steward opens and closes turns for one daemon.
type Steward struct {
	options  Options
	turns    *archivist.Archivist
	budgets  *budgeter.Budgeter
	recorder *recorder.Recorder
	peers    assigner.Peers
	homes    *assigner.Assigner
	book     book
	tomb     *tomb.Tomb
	leaving  atomic.Bool
	number   atomic.Int64
	closing  sync.WaitGroup

	asked, missed, served atomic.Int64
}

// Start returns a steward that works until the context ends; peers may be nil.
func Start(ctx context.Context, turns *archivist.Archivist, budgets *budgeter.Budgeter, peers assigner.Peers, r *recorder.Recorder, o Options) *Steward {
	s := &Steward{options: o, turns: turns, budgets: budgets, peers: peers, homes: assigner.New(o.Node, peers), recorder: r}
	s.tomb, _ = tomb.WithContext(ctx)
	s.tomb.Go(s.run)
	return s
}

// Counts returns the turns that other homes were asked for, those of them that
// were opened here after all, and the turns opened here for other daemons.
func (s *Steward) Counts() (asked, missed, served int64) {
	return s.asked.Load(), s.missed.Load(), s.served.Load()
}

// Leave ends the work for other daemons, for a planned stop.
func (s *Steward) Leave() { s.leaving.Store(true) }

// Drain waits until other homes know of all closed turns, or the context ends.
func (s *Steward) Drain(ctx context.Context) {
	w := &draining{steward: s, done: make(chan struct{})}
	go w.run()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

type draining struct {
	steward *Steward
	done    chan struct{}
}

func (w *draining) run() {
	w.steward.closing.Wait()
	close(w.done)
}

// run counts the tokens of grants that nobody closed as spent.
func (s *Steward) run() error {
	for {
		select {
		case <-time.After(expirePeriod):
			for _, h := range s.book.expire(time.Now()) {
				s.recorder.Event("steward", "grant expired").Str("program", h.program).Int("tokens", h.tokens).End()
				s.budgets.Finish(h.program, h.tokens, h.tokens)
			}
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// Open returns a grant for a turn. ErrNoTurn and ErrExhausted are certain; after
// any other error nobody knows.
func (s *Steward) Open(ctx context.Context, t Turn) (*Grant, error) {
	if home, ok := s.homes.Of(t.Program); ok && t.Program != "" {
		s.asked.Add(1)
		if g, err := s.ask(ctx, home, t); g != nil || err != nil {
			return g, err
		}
		s.missed.Add(1)
	}
	chain, err := s.open(ctx, t)
	if err != nil {
		return nil, err
	}
	return &Grant{steward: s, turn: t, chain: chain}, nil
}

// open works on the rows: it reads the history and reserves the tokens side by side.
func (s *Steward) open(ctx context.Context, t Turn) (*archivist.Chain, error) {
	l := &loading{turns: s.turns, parent: t.Parent, done: make(chan struct{})}
	switch {
	case t.History && t.Tokens > 0:
		go l.run(ctx)
	case t.History:
		l.run(ctx)
	}
	var err error
	if t.Tokens > 0 {
		err = errors.WithMessage(s.budgets.Reserve(ctx, t.Program, t.Budget, t.Tokens), "budget")
	}
	if !t.History {
		return nil, err
	}
	<-l.done
	if l.err == nil && err == nil {
		return l.chain, nil
	}
	if t.Tokens > 0 && err == nil {
		s.budgets.Finish(t.Program, t.Tokens, 0)
	}
	if l.err != nil {
		// What the history says goes first: a turn without one never runs.
		err = errors.WithMessage(l.err, "history")
	}
	return nil, err
}

// loading reads the history of a turn.
type loading struct {
	turns  *archivist.Archivist
	parent string
	done   chan struct{}
	chain  *archivist.Chain
	err    error
}

func (l *loading) run(ctx context.Context) {
	defer close(l.done)
	l.chain, l.err = l.turns.Chain(ctx, l.parent)
}

// ask opens a turn at its home. It returns neither a grant nor an error if the
// turn is to be opened here.
func (s *Steward) ask(ctx context.Context, home assigner.Peer, t Turn) (*Grant, error) {
	id := s.options.Name + "." + strconv.FormatInt(s.number.Add(1), 10)
	q := OpenRequest{ID: id, Turn: t, Left: homePatience}
	known, ok := s.turns.Known(t.Parent)
	if ok {
		q.Turn.History = false
	}
	var r OpenReply
	if q.Turn.History || t.Tokens > 0 {
		short, cancel := context.WithTimeout(ctx, homePatience)
		defer cancel()
		err := s.peers.Call(short, home.Address, openMethod, q, &r)
		switch {
		case err != nil || r.Outcome == Closed:
			return nil, s.miss(ctx, home, id, t, err)
		case r.Outcome == Refused:
			return nil, nil
		}
		s.homes.Answered(home.Address)
	}
	switch r.Outcome {
	case NoTurn:
		return nil, errors.WithMessagef(archivist.ErrNoTurn, "history at %s", home.Name)
	case Exhausted:
		return nil, errors.WithMessagef(budgeter.ErrExhausted, "budget at %s", home.Name)
	}
	g := &Grant{steward: s, turn: t, home: home, id: id}
	switch {
	case t.History && ok:
		g.chain = known
	case t.History:
		g.chain = archivist.NewChain(r.Turns)
	}
	return g, nil
}

// miss notes that a home did not open a turn.
func (s *Steward) miss(ctx context.Context, home assigner.Peer, id string, t Turn, err error) error {
	if ctx.Err() != nil {
		s.disown(home, id, t)
		return errors.Wrap(ctx.Err(), "home")
	}
	if s.homes.Failed(home.Address) {
		s.recorder.Event("steward", "home left").Str("home", home.Name).Str("id", t.ID).Err(err).End()
	}
	if err != nil && !errors.Is(err, linker.ErrUnreached) {
		s.disown(home, id, t)
	}
	return nil
}

// disown takes back a grant that a home may have made.
func (s *Steward) disown(home assigner.Peer, id string, t Turn) {
	(&Grant{steward: s, turn: t, home: home, id: id}).Close(0)
}
