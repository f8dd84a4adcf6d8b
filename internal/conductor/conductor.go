package conductor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/dispatcher"
	"pimentorail.example/pimentorail/internal/limiter"
	"pimentorail.example/pimentorail/internal/router"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	beginLimit   = 20 * time.Second
	finishLimit  = 20 * time.Second
	modelLimit   = 5 * time.Minute
	maxAttempts  = 3
	shortlist    = 3
	answerWeight = 0.1
)

// Config is the declarations in force; a configurer.Watcher is one.
type Config interface {
	Snapshot() *configurer.Snapshot
	Refresh(ctx context.Context) bool
}

// Limits bounds the calls in flight of accounts; a limiter.Pool is one.
type Limits interface {
	Take(ctx context.Context, account string, limit time.Duration) *classifier.Fault
	Give(account string)
}

// Targets sends calls to targets; a dispatcher.Dispatcher is one.
type Targets interface {
	Model(ctx context.Context, address string, q dispatcher.ModelRequest, sink dispatcher.Sink) (dispatcher.ModelResult, error)
	Service(ctx context.Context, address string, q dispatcher.ServiceRequest) (dispatcher.ServiceResult, error)
	Cancel(address, id string)
}

// Options configures a Conductor.
type Options struct {
	Caller  Caller
	Map     Map
	Config  Config
	Limits  Limits
	Targets Targets
	// Leaving reports whether a replica takes no new work.
	Leaving func(replica string) bool
	Routing router.Policy
	Seed    uint64
}

// Conductor carries calls from arrival to outcome.
type Conductor struct {
	o      Options
	owners owners
	mu     sync.Mutex
	random *rand.Rand
	answer float64
	active int
	tomb   *tomb.Tomb
}

var _ Limits = (*limiter.Pool)(nil)

// New returns a conductor.
func New(o Options) *Conductor {
	if o.Routing == "" {
		o.Routing = router.Affine
	}
	return &Conductor{
		o: o, owners: owners{caller: o.Caller, places: o.Map},
		random: rand.New(rand.NewPCG(o.Seed, 1)),
	}
}

// Start lets background work run until the context ends.
func (c *Conductor) Start(ctx context.Context) {
	c.tomb, _ = tomb.WithContext(ctx)
	c.tomb.Go(c.run)
}

// run keeps the conductor alive until it is told to stop.
func (c *Conductor) run() error {
	<-c.tomb.Dying()
	return nil
}

// Wait returns when the background work has stopped.
func (c *Conductor) Wait() error { return c.tomb.Wait() }

// Active returns the number of calls under way.
func (c *Conductor) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

func (c *Conductor) count(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active += n
}

// Run carries a call to its outcome, or says why there is none.
func (c *Conductor) Run(ctx context.Context, call *Call) (*sequencer.Outcome, *classifier.Fault) {
	c.count(1)
	defer c.count(-1)
	if f := c.confirm(ctx); f != nil {
		return nil, f
	}
	if call.Program == "" && !call.repeatable() {
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "target %q is not repeatable: its calls need a program", call.Target.Name)
	}
	if f := c.o.Limits.Take(ctx, call.Account.Name, c.queueLimit(call, false)); f != nil {
		return nil, f
	}
	defer c.o.Limits.Give(call.Account.Name)
	if call.Program == "" {
		w := &work{conductor: c, call: call, attempt: uuid.NewString()}
		return w.dispatch(ctx)
	}
	return c.runProgram(ctx, call)
}

// confirm refuses calls if the declarations can't be confirmed and the policy says so.
func (c *Conductor) confirm(ctx context.Context) *classifier.Fault {
	if c.o.Config.Refresh(ctx) {
		return nil
	}
	s := c.o.Config.Snapshot()
	if s.Version() == 0 || s.Policy().StoreOutage == declarer.Refuse {
		return classifier.New(classifier.ConfigUnsure, classifier.RanNo, "version %d is not confirmed", s.Version()).After(time.Second)
	}
	return nil
}

// queueLimit returns how long a call may wait for a start.
func (c *Conductor) queueLimit(call *Call, started bool) time.Duration {
	p := c.o.Config.Snapshot().Policy()
	limit := time.Duration(p.NewProgramLimitMS) * time.Millisecond
	if started {
		limit = time.Duration(p.QueueLimitMS) * time.Millisecond
	}
	if call.Deadline > 0 {
		limit = min(limit, call.Deadline)
	}
	return limit
}

// runProgram runs a call of a program; it goes on when the caller leaves, so
// that a caller that comes back gets the whole answer. A repeatable call that
// may have run is begun again, so that each attempt has its own reservation.
func (c *Conductor) runProgram(ctx context.Context, call *Call) (*sequencer.Outcome, *classifier.Fault) {
	ran := classifier.RanNo
	for attempt := 1; ; attempt++ {
		w := &work{conductor: c, call: call, attempt: uuid.NewString()}
		out, f := w.run(ctx)
		if f == nil {
			return out, nil
		}
		if f.Ran != classifier.RanNo {
			ran = f.Ran
		}
		again := f.Ran == classifier.RanUnknown && call.repeatable() && f.Code.OfTarget()
		if !again || w.emitted || attempt == maxAttempts || ctx.Err() != nil {
			return nil, f.With(ran)
		}
		call.Number = w.begun.Ticket.Number
	}
}

// run begins, dispatches and finishes one attempt at a call of a program.
func (w *work) run(ctx context.Context) (*sequencer.Outcome, *classifier.Fault) {
	c := w.conductor
	b, f := w.begin(ctx)
	if f != nil {
		return nil, f
	}
	if b.Replay != nil {
		return b.Replay, b.Replay.Fault
	}
	w.begun = b
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), modelLimit)
	defer cancel()
	w.keeper = newKeeper(w)
	c.tomb.Go(w.keeper.run)
	defer w.keeper.stop()
	out, f := w.dispatch(ctx)
	return w.finish(ctx, out, f)
}

// shortlist draws the replicas to ask.
func (c *Conductor) shortlist(replicas []string, last, prefix string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return router.Shortlist(replicas, last, prefix, shortlist, c.o.Routing, c.random)
}

// learn takes the size of an answer, for the next expectations.
func (c *Conductor) learn(tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer == 0 {
		c.answer = float64(tokens)
	}
	c.answer += answerWeight * (float64(tokens) - c.answer)
}

func (c *Conductor) expectedAnswer() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer
}
