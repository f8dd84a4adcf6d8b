package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	reconcilePeriod = 2 * time.Second
	tickTimeout     = 10 * time.Second
	// takeoverGrace is how long a new owner sends no order to an engine that ignores
	// fencing numbers, so that an order which the previous owner had in flight arrives
	// first. It is shorter than tickTimeout, the only timeout of an order, so it does not
	// cover an order that takes longer.
	takeoverGrace = 8 * time.Second
)

// ErrOldFence says that the engine has accepted an order with a higher fencing number.
var ErrOldFence = errors.New("controller: the engine has accepted an order with a higher fencing number")

// Engines reads the state of engines and sends them orders. dispatcher.Dispatcher
// implements it.
type Engines interface {
	State(ctx context.Context, address string) (State, error)
	Order(ctx context.Context, address string, o Order) error
}

// Engine is an owned engine replica with its declared state.
type Engine struct {
	Replica string
	Address string
	Fence   uint64
	// HonoursFence says that the engine refuses orders with an old fencing number.
	HonoursFence bool
	DesiredState State
}

// Options configures a Controller.
type Options struct {
	Engines Engines
	// Owned returns the engines with a declared state that this daemon owns.
	Owned func() []Engine
	// Owns is called right before an order and reports whether the fence is still valid.
	Owns func(e Engine) bool
}

// heldFence is a fence and when the controller first saw it.
type heldFence struct {
	fence uint64
	since time.Time
}

// Controller brings the engines that its daemon owns to their declared state.
type Controller struct {
	options Options
	fences  map[string]heldFence
	tomb    *tomb.Tomb
}

// New returns a controller that doesn't run yet.
func New(o Options) *Controller { return &Controller{options: o, fences: map[string]heldFence{}} }

// Start runs the controller until the context ends.
func (c *Controller) Start(ctx context.Context) {
	c.tomb, _ = tomb.WithContext(ctx)
	c.tomb.Go(supervisor.Loop(c.tomb, "controller: reconciliation", c.run))
}

// Wait returns when the controller has stopped.
func (c *Controller) Wait() error { return c.tomb.Wait() }

func (c *Controller) run() error {
	ctx := c.tomb.Context(context.Background())
	for {
		select {
		case <-time.After(reconcilePeriod):
			c.Tick(ctx)
		case <-c.tomb.Dying():
			return nil
		}
	}
}

// Tick brings each owned engine to its declared state, once.
func (c *Controller) Tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tickTimeout)
	defer cancel()
	for _, e := range c.options.Owned() {
		if err := c.reconcile(ctx, e); err != nil {
			klog.Warningf("controller: bringing replica %s to its declared state failed: %v", e.Replica, err)
		}
	}
}

// reconcile sends an engine an order if its state differs from the declared one, and then
// reads the state again.
func (c *Controller) reconcile(ctx context.Context, e Engine) error {
	h, ok := c.fences[e.Replica]
	if !ok || h.fence != e.Fence {
		h = heldFence{fence: e.Fence, since: time.Now()}
		c.fences[e.Replica] = h
	}
	if !e.HonoursFence && time.Since(h.since) < takeoverGrace {
		return nil
	}
	s, err := c.options.Engines.State(ctx, e.Address)
	if err != nil || s.satisfies(e.DesiredState) {
		return err
	}
	if !c.options.Owns(e) {
		return nil
	}
	o := Order{Fence: e.Fence, Role: e.DesiredState.Role, Loads: e.DesiredState.Loads}
	if err := c.options.Engines.Order(ctx, e.Address, o); err != nil {
		return errors.Wrap(err, "send order")
	}
	s, err = c.options.Engines.State(ctx, e.Address)
	if err == nil && !s.satisfies(e.DesiredState) {
		err = errors.Errorf("the engine's state is %+v after an order for %+v", s, e.DesiredState)
	}
	return err
}
