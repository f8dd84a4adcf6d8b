package lister

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const listInterval = time.Second

// Source returns the reference platform's list of VMs; storer.Client implements it.
type Source interface {
	VMs(ctx context.Context) ([]storer.VM, error)
}

// Lister caches the addresses of the leaving VMs from the last list that it read.
type Lister struct {
	source  Source
	mu      sync.Mutex
	leaving map[string]bool
	tomb    *tomb.Tomb
}

// New returns a lister with an empty list.
func New(s Source) *Lister { return &Lister{source: s, leaving: map[string]bool{}} }

// Start polls the list until the context ends.
func (l *Lister) Start(ctx context.Context) {
	l.tomb, _ = tomb.WithContext(ctx)
	l.tomb.Go(supervisor.Loop(l.tomb, "lister: list of VMs", l.run))
}

// Wait returns when the lister has stopped.
func (l *Lister) Wait() error { return l.tomb.Wait() }

// run reads the list at intervals of listInterval until the lister stops.
func (l *Lister) run() error {
	ctx := l.tomb.Context(context.Background())
	for {
		l.Tick(ctx)
		select {
		case <-time.After(listInterval):
		case <-l.tomb.Dying():
			return nil
		}
	}
}

// Tick reads the list once. After a failed read the last list stays in use.
func (l *Lister) Tick(ctx context.Context) {
	vms, err := l.source.VMs(ctx)
	if err != nil {
		klog.V(1).Infof("lister: failed to read the list of VMs: %v", err)
		return
	}
	leaving := make(map[string]bool, len(vms))
	for _, m := range vms {
		if m.Leaving {
			leaving[m.Address] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = leaving
}

// Leaving reports whether the VM with the address is listed as leaving.
func (l *Lister) Leaving(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving[address]
}
