package configurer

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"
)

const (
	watchPeriod  = time.Second
	sureFor      = 5 * time.Second
	changesLimit = 200
	refreshWait  = 500 * time.Millisecond
)

// Peers asks another daemon for the changes after a version.
type Peers interface {
	Since(ctx context.Context, version uint64) (SinceReply, error)
}

// Reporter is told the version in force; a Leaser is one.
type Reporter interface {
	SetConfig(version uint64)
}

// Watcher keeps the newest known declarations in force on one daemon.
type Watcher struct {
	registry  *Registry
	peers     Peers
	reporter  Reporter
	mu        sync.Mutex
	snapshot  *Snapshot
	recent    []Change
	confirmed time.Time
	tick      chan struct{}
	tomb      *tomb.Tomb
}

// NewWatcher returns a watcher with nothing in force; peers and reporter may be nil.
func NewWatcher(g *Registry, p Peers, r Reporter) *Watcher {
	empty, _ := newSnapshot(0, nil)
	return &Watcher{registry: g, peers: p, reporter: r, snapshot: empty, tick: make(chan struct{}, 1)}
}

// Start follows the head until the context ends.
func (w *Watcher) Start(ctx context.Context) {
	w.tomb, _ = tomb.WithContext(ctx)
	w.tomb.Go(w.run)
}

// Wait returns when the watcher has stopped.
func (w *Watcher) Wait() error { return w.tomb.Wait() }

func (w *Watcher) run() error {
	ctx := w.tomb.Context(context.Background())
	for {
		w.Tick(ctx)
		select {
		case <-time.After(watchPeriod):
		case <-w.tomb.Dying():
			return nil
		}
	}
}

// Tick brings the head into force once, from the store or else from a peer.
func (w *Watcher) Tick(ctx context.Context) {
	select {
	case w.tick <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.tick }()
	start := time.Now()
	err := w.follow(ctx)
	if err == nil {
		w.confirm(start)
		return
	}
	klog.V(1).Infof("configurer: store: %v", err)
	if w.peers == nil {
		return
	}
	r, err := w.peers.Since(ctx, w.Snapshot().version)
	if err != nil {
		klog.V(1).Infof("configurer: peers: %v", err)
		return
	}
	for _, c := range r.Changes {
		w.advance(c)
	}
	if w.Snapshot().version >= r.Version {
		w.confirm(start.Add(-r.Age))
	}
}

// follow reads the head and applies what is missing.
func (w *Watcher) follow(ctx context.Context) error {
	h, _, err := w.registry.head(ctx)
	if err != nil {
		return err
	}
	for w.Snapshot().version < h.Version {
		have := w.Snapshot().version
		if have == 0 {
			s, err := w.registry.Load(ctx)
			if err != nil {
				return err
			}
			w.put(s, nil)
			continue
		}
		changes, err := w.registry.Changes(ctx, have, changesLimit)
		if err != nil {
			return err
		}
		for _, c := range changes {
			w.advance(c)
		}
		if w.Snapshot().version == have {
			s, err := w.registry.Load(ctx)
			if err != nil {
				return err
			}
			w.put(s, nil)
		}
	}
	return nil
}

// advance applies the change that follows the version in force; others are ignored.
func (w *Watcher) advance(c Change) {
	s := w.Snapshot()
	if c.Version != s.version+1 {
		return
	}
	n, err := s.next(c)
	if err != nil {
		klog.Errorf("configurer: version %d: %v", c.Version, err)
		return
	}
	w.put(n, &c)
}

// put brings a higher version into force.
func (w *Watcher) put(s *Snapshot, c *Change) {
	w.mu.Lock()
	if s.version <= w.snapshot.version {
		w.mu.Unlock()
		return
	}
	w.snapshot = s
	if c != nil {
		w.recent = append(w.recent, *c)
		w.recent = w.recent[max(0, len(w.recent)-changesLimit):]
	}
	w.mu.Unlock()
	klog.Infof("configurer: version %d is in force.", s.version)
	if w.reporter != nil {
		w.reporter.SetConfig(s.version)
	}
}

func (w *Watcher) confirm(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.confirmed) {
		w.confirmed = at
	}
}

// Snapshot returns the declarations in force.
func (w *Watcher) Snapshot() *Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.snapshot
}

// Sure reports whether the head was confirmed in the last seconds.
func (w *Watcher) Sure() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.confirmed.IsZero() && time.Since(w.confirmed) < sureFor
}

// Refresh confirms the head at once if it is unsure, and reports whether it is sure now.
func (w *Watcher) Refresh(ctx context.Context) bool {
	if w.Sure() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, refreshWait)
	defer cancel()
	w.Tick(ctx)
	return w.Sure()
}

// InFlight returns the in-flight limit of an account in force.
func (w *Watcher) InFlight(account string) (int, bool) { return w.Snapshot().InFlight(account) }

// Limits returns the first and greatest window of a replica in force.
func (w *Watcher) Limits(id string) (first, limit int, ok bool) {
	t, _, ok := w.Snapshot().Replica(id)
	return t.Window, t.WindowLimit, ok
}
