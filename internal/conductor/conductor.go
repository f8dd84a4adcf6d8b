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
	beginTimeout   = 20 * time.Second
	finishTimeout  = 20 * time.Second
	attemptTimeout = 5 * time.Minute
	// maxAttempts bounds the attempts at a repeatable call of a program, and also the sends
	// within one attempt, so that a call is sent at most 9 times.
	maxAttempts     = 3
	shortlistSize   = 3
	answerSmoothing = 0.1
)

// Config provides the declarations in force. configurer.Watcher implements it.
type Config interface {
	Snapshot() *configurer.Snapshot
	Refresh(ctx context.Context) bool
}

// Limits bounds the in-flight calls of each account. limiter.Pool implements it.
type Limits interface {
	Acquire(ctx context.Context, account string, limit time.Duration) *classifier.Fault
	Release(account string)
}

// Targets sends calls to targets. dispatcher.Dispatcher implements it.
type Targets interface {
	Model(ctx context.Context, address string, q dispatcher.ModelRequest, sink dispatcher.Sink) (dispatcher.ModelResult, error)
	Service(ctx context.Context, address string, q dispatcher.ServiceRequest) (dispatcher.ServiceResult, error)
	Cancel(address, id string)
}

// Options configures a Conductor.
type Options struct {
	Caller       Caller
	PartitionMap PartitionMap
	Config       Config
	Limits       Limits
	Targets      Targets
	// Leaving reports whether a replica accepts no new calls.
	Leaving func(replica string) bool
	Routing router.Policy
	Seed    uint64
}

// Conductor runs calls and retries their attempts.
type Conductor struct {
	o                Options
	ownerClient      ownerClient
	mu               sync.Mutex
	random           *rand.Rand
	meanAnswerTokens float64
	inFlight         int
	tomb             *tomb.Tomb
}

var _ Limits = (*limiter.Pool)(nil)

// New returns a conductor; Start must be called before Run.
func New(o Options) *Conductor {
	if o.Routing == "" {
		o.Routing = router.Affine
	}
	return &Conductor{
		o: o, ownerClient: ownerClient{caller: o.Caller, partitions: o.PartitionMap},
		random: rand.New(rand.NewPCG(o.Seed, 1)),
	}
}

// Start allows background work until the context ends.
func (c *Conductor) Start(ctx context.Context) {
	c.tomb, _ = tomb.WithContext(ctx)
	c.tomb.Go(c.run)
}

// run keeps the tomb alive until the context ends, so that calls can add goroutines to it.
func (c *Conductor) run() error {
	<-c.tomb.Dying()
	return nil
}

// Wait returns when the background work has stopped.
func (c *Conductor) Wait() error { return c.tomb.Wait() }

// InFlight returns the number of in-flight calls.
func (c *Conductor) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

func (c *Conductor) addInFlight(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight += n
}

// Run runs a call and returns its outcome, or a fault that explains why there is none.
func (c *Conductor) Run(ctx context.Context, call *Call) (*sequencer.Outcome, *classifier.Fault) {
	c.addInFlight(1)
	defer c.addInFlight(-1)
	if f := c.confirmConfig(ctx); f != nil {
		return nil, f
	}
	if call.Program == "" && !call.repeatable() {
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "target %q is not repeatable: its calls must belong to a program", call.Target.Name)
	}
	if f := c.o.Limits.Acquire(ctx, call.Account.Name, c.queueLimit(call, false)); f != nil {
		return nil, f
	}
	defer c.o.Limits.Release(call.Account.Name)
	if call.Program == "" {
		a := &attempt{conductor: c, call: call, id: uuid.NewString()}
		return a.dispatch(ctx)
	}
	return c.runProgram(ctx, call)
}

// confirmConfig returns a fault if the declarations can't be confirmed to be current and the
// policy refuses calls in that case. Without any declarations it always refuses.
func (c *Conductor) confirmConfig(ctx context.Context) *classifier.Fault {
	if c.o.Config.Refresh(ctx) {
		return nil
	}
	s := c.o.Config.Snapshot()
	if s.Version() == 0 || s.Policy().StoreOutage == declarer.RefuseAll {
		return classifier.New(classifier.ConfigUnsure, classifier.RanNo, "configuration version %d can't be confirmed to be current", s.Version()).After(time.Second)
	}
	return nil
}

// queueLimit returns the maximum time that a call may wait to start. Calls of a program
// that has already started have a limit of their own.
func (c *Conductor) queueLimit(call *Call, started bool) time.Duration {
	p := c.o.Config.Snapshot().Policy()
	limit := time.Duration(p.NewProgramLimitMS) * time.Millisecond
	if started {
		limit = time.Duration(p.QueueLimitMS) * time.Millisecond
	}
	if call.MaxWait > 0 {
		limit = min(limit, call.MaxWait)
	}
	return limit
}

// runProgram runs a call of a program. An attempt continues after the caller disconnects,
// so that a retry by the caller gets the whole answer. A repeatable call that may have run
// is begun again, so that each attempt has its own reservation.
func (c *Conductor) runProgram(ctx context.Context, call *Call) (*sequencer.Outcome, *classifier.Fault) {
	ran := classifier.RanNo
	for n := 1; ; n++ {
		a := &attempt{conductor: c, call: call, id: uuid.NewString()}
		out, f := a.run(ctx)
		if f == nil {
			return out, nil
		}
		if f.Ran != classifier.RanNo {
			ran = f.Ran
		}
		retry := f.Ran == classifier.RanUnknown && call.repeatable() && f.Code.OfTarget()
		if !retry || a.streamed || n == maxAttempts || ctx.Err() != nil {
			return nil, f.With(ran)
		}
		call.Number = a.beginReply.Ticket.Number
	}
}

// run begins, dispatches and finishes one attempt at a call of a program.
func (a *attempt) run(ctx context.Context) (*sequencer.Outcome, *classifier.Fault) {
	c := a.conductor
	b, f := a.begin(ctx)
	if f != nil {
		return nil, f
	}
	if b.Replay != nil {
		return b.Replay, b.Replay.Fault
	}
	a.beginReply = b
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	defer cancel()
	a.renewer = newRenewer(a)
	c.tomb.Go(a.renewer.run)
	defer a.renewer.stop()
	out, f := a.dispatch(ctx)
	return a.finish(ctx, out, f)
}

// shortlist selects the replicas to probe.
func (c *Conductor) shortlist(replicas []string, last, prefix string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return router.Shortlist(replicas, last, prefix, shortlistSize, c.o.Routing, c.random)
}

// recordAnswer updates the moving average of answer sizes.
func (c *Conductor) recordAnswer(tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meanAnswerTokens == 0 {
		c.meanAnswerTokens = float64(tokens)
	}
	c.meanAnswerTokens += answerSmoothing * (float64(tokens) - c.meanAnswerTokens)
}

// expectedAnswerTokens returns the moving average of answer sizes.
func (c *Conductor) expectedAnswerTokens() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meanAnswerTokens
}
