package reaper

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	scanPeriod  = 2 * time.Second
	tickTimeout = 10 * time.Second
)

// Engines lists and releases the memory that engines hold for programs.
// dispatcher.Dispatcher implements it.
type Engines interface {
	HeldPrograms(ctx context.Context, address string) ([]string, error)
	ReleaseProgram(ctx context.Context, address, program string) error
}

// Options configures a Reaper.
type Options struct {
	Engines Engines
	// Addresses returns the addresses of the engine replicas that this daemon owns.
	Addresses func() []string
	// Gone returns those of the programs that certainly need no engine memory anymore.
	Gone func(ctx context.Context, programs []string) []string
}

// Reaper releases the memory that owned engines hold for gone programs.
type Reaper struct {
	options Options
	tomb    *tomb.Tomb
}

// New returns a reaper that doesn't run yet.
func New(o Options) *Reaper { return &Reaper{options: o} }

// Start runs the reaper until the context ends.
func (r *Reaper) Start(ctx context.Context) {
	r.tomb, _ = tomb.WithContext(ctx)
	r.tomb.Go(supervisor.Loop(r.tomb, "reaper: scan", r.run))
}

// Wait returns when the reaper has stopped.
func (r *Reaper) Wait() error { return r.tomb.Wait() }

func (r *Reaper) run() error {
	ctx := r.tomb.Context(context.Background())
	for {
		select {
		case <-time.After(scanPeriod):
			r.Tick(ctx)
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// Tick releases the memory of gone programs on each owned engine, once.
func (r *Reaper) Tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tickTimeout)
	defer cancel()
	for _, a := range r.options.Addresses() {
		if err := r.releaseGone(ctx, a); err != nil {
			klog.V(1).Infof("reaper: releasing memory on the engine at %s failed: %v", a, err)
		}
	}
}

// releaseGone releases the memory that one engine holds for gone programs.
func (r *Reaper) releaseGone(ctx context.Context, address string) error {
	held, err := r.options.Engines.HeldPrograms(ctx, address)
	if err != nil || len(held) == 0 {
		return err
	}
	for _, p := range r.options.Gone(ctx, held) {
		if err := r.options.Engines.ReleaseProgram(ctx, address, p); err != nil {
			return err
		}
	}
	return nil
}
