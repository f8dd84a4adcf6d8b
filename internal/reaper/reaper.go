package reaper

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"
)

const (
	period       = 2 * time.Second
	roundTimeout = 10 * time.Second
)

// Engines reads and releases held memory; a dispatcher.Dispatcher is one.
type Engines interface {
	Held(ctx context.Context, address string) ([]string, error)
	Release(ctx context.Context, address, program string) error
}

// Options configures a Reaper.
type Options struct {
	Engines Engines
	// Addresses returns the addresses of the engine replicas that this daemon owns.
	Addresses func() []string
	// Gone returns those of the programs that are gone for certain.
	Gone func(ctx context.Context, programs []string) []string
}

// Reaper frees memory of gone programs on owned engines.
type Reaper struct {
	o    Options
	tomb *tomb.Tomb
}

// New returns a reaper.
func New(o Options) *Reaper { return &Reaper{o: o} }

// Start compares and frees until the context ends.
func (r *Reaper) Start(ctx context.Context) {
	r.tomb, _ = tomb.WithContext(ctx)
	r.tomb.Go(r.run)
}

// Wait returns when the reaper has stopped.
func (r *Reaper) Wait() error { return r.tomb.Wait() }

func (r *Reaper) run() error {
	ctx := r.tomb.Context(context.Background())
	for {
		select {
		case <-time.After(period):
			r.Tick(ctx)
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// Tick does one round over the owned engines.
func (r *Reaper) Tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	for _, a := range r.o.Addresses() {
		if err := r.free(ctx, a); err != nil {
			klog.V(1).Infof("reaper: %s: %v", a, err)
		}
	}
}

func (r *Reaper) free(ctx context.Context, address string) error {
	held, err := r.o.Engines.Held(ctx, address)
	if err != nil || len(held) == 0 {
		return err
	}
	for _, p := range r.o.Gone(ctx, held) {
		if err := r.o.Engines.Release(ctx, address, p); err != nil {
			return err
		}
	}
	return nil
}
