package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"
)

const (
	period       = 2 * time.Second
	roundTimeout = 10 * time.Second
	// graceAfterTakeover is how long an engine that ignores fencing numbers gets
	// no order from a new owner: a lease's lifetime and an order's time limit.
	graceAfterTakeover = 8 * time.Second
)

// ErrOldFence says that the engine has taken an order with a higher fencing number.
var ErrOldFence = errors.New("controller: the fencing number is old")

// Engines reads and orders engines; a dispatcher.Dispatcher is one.
type Engines interface {
	State(ctx context.Context, address string) (State, error)
	Order(ctx context.Context, address string, o Order) error
}

// Engine is an owned engine replica with its declared state.
type Engine struct {
	Replica string
	Address string
	Fence   uint64
	// HonoursFence says that the engine refuses old fencing numbers.
	HonoursFence bool
	Want         State
}

// Options configures a Controller.
type Options struct {
	Engines Engines
	// Owned returns the engines of owned partitions that have a declared state.
	Owned func() []Engine
	// Owns confirms right before an order that a fence still holds.
	Owns func(e Engine) bool
}

// holding is since when a fence is held.
type holding struct {
	fence uint64
	since time.Time
}

// Controller orders the engines that its daemon owns.
type Controller struct {
	o    Options
	held map[string]holding
	tomb *tomb.Tomb
}

// New returns a controller.
func New(o Options) *Controller { return &Controller{o: o, held: map[string]holding{}} }

// Start compares and orders until the context ends.
func (c *Controller) Start(ctx context.Context) {
	c.tomb, _ = tomb.WithContext(ctx)
	c.tomb.Go(c.run)
}

// Wait returns when the controller has stopped.
func (c *Controller) Wait() error { return c.tomb.Wait() }

func (c *Controller) run() error {
	ctx := c.tomb.Context(context.Background())
	for {
		select {
		case <-time.After(period):
			c.Tick(ctx)
		case <-c.tomb.Dying():
			return nil
		}
	}
}

// Tick does one round over the owned engines.
func (c *Controller) Tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	for _, e := range c.o.Owned() {
		if err := c.bring(ctx, e); err != nil {
			klog.Warningf("controller: %s: %v", e.Replica, err)
		}
	}
}

// bring orders one engine if its state differs, and reads it again.
func (c *Controller) bring(ctx context.Context, e Engine) error {
	h, ok := c.held[e.Replica]
	if !ok || h.fence != e.Fence {
		h = holding{fence: e.Fence, since: time.Now()}
		c.held[e.Replica] = h
	}
	if !e.HonoursFence && time.Since(h.since) < graceAfterTakeover {
		return nil
	}
	s, err := c.o.Engines.State(ctx, e.Address)
	if err != nil || s.meets(e.Want) {
		return err
	}
	if !c.o.Owns(e) {
		return nil
	}
	o := Order{Fence: e.Fence, Role: e.Want.Role, Loads: e.Want.Loads}
	if err := c.o.Engines.Order(ctx, e.Address, o); err != nil {
		return errors.Wrap(err, "order")
	}
	s, err = c.o.Engines.State(ctx, e.Address)
	if err == nil && !s.meets(e.Want) {
		err = errors.Errorf("state is %+v after an order for %+v", s, e.Want)
	}
	return err
}
