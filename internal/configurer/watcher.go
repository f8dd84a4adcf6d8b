package configurer

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	watchPeriod          = time.Second
	confirmationLifetime = 5 * time.Second
	maxChanges           = 200
	refreshTimeout       = 500 * time.Millisecond
)

// Peers fetches the changes after a version from another daemon.
type Peers interface {
	Since(ctx context.Context, version uint64) (SinceReply, error)
}

// Reporter is notified of the version in force. leaser.Leaser implements it.
type Reporter interface {
	SetConfigVersion(version uint64)
}

// Watcher keeps the newest known declarations in force on one daemon.
type Watcher struct {
	repository    *Repository
	peers         Peers
	reporter      Reporter
	mu            sync.Mutex
	snapshot      *Snapshot
	recentChanges []Change
	confirmedAt   time.Time
	// tickLock serializes calls of Tick.
	tickLock chan struct{}
	tomb     *tomb.Tomb
}

// NewWatcher returns a watcher with nothing in force; peers and reporter may be nil.
func NewWatcher(g *Repository, p Peers, r Reporter) *Watcher {
	empty, _ := newSnapshot(0, nil)
	return &Watcher{repository: g, peers: p, reporter: r, snapshot: empty, tickLock: make(chan struct{}, 1)}
}

// Start follows the head until the context ends.
func (w *Watcher) Start(ctx context.Context) {
	w.tomb, _ = tomb.WithContext(ctx)
	w.tomb.Go(supervisor.Loop(w.tomb, "configurer: watcher", w.run))
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

// Tick brings the head into force once, from the store or, if that fails, from a peer.
func (w *Watcher) Tick(ctx context.Context) {
	select {
	case w.tickLock <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.tickLock }()
	start := time.Now()
	err := w.syncWithHead(ctx)
	if err == nil {
		w.recordConfirmation(start)
		return
	}
	klog.V(1).Infof("configurer: reading changes from the store failed: %v", err)
	if w.peers == nil {
		return
	}
	r, err := w.peers.Since(ctx, w.Snapshot().version)
	if err != nil {
		klog.V(1).Infof("configurer: asking peers for changes failed: %v", err)
		return
	}
	for _, c := range r.Changes {
		w.applyChange(c)
	}
	if w.Snapshot().version >= r.Version {
		w.recordConfirmation(start.Add(-r.Age))
	}
}

// syncWithHead reads the head and applies the missing changes. If nothing is in force yet
// or no missing change can be applied, it loads the complete declarations.
func (w *Watcher) syncWithHead(ctx context.Context) error {
	h, _, err := w.repository.head(ctx)
	if err != nil {
		return err
	}
	for w.Snapshot().version < h.Version {
		current := w.Snapshot().version
		if current == 0 {
			s, err := w.repository.Load(ctx)
			if err != nil {
				return err
			}
			w.activate(s, nil)
			continue
		}
		changes, err := w.repository.Changes(ctx, current, maxChanges)
		if err != nil {
			return err
		}
		for _, c := range changes {
			w.applyChange(c)
		}
		if w.Snapshot().version == current {
			s, err := w.repository.Load(ctx)
			if err != nil {
				return err
			}
			w.activate(s, nil)
		}
	}
	return nil
}

// applyChange applies the change that follows the version in force and ignores any other.
func (w *Watcher) applyChange(c Change) {
	s := w.Snapshot()
	if c.Version != s.version+1 {
		return
	}
	n, err := s.apply(c)
	if err != nil {
		klog.Errorf("configurer: applying version %d failed: %v", c.Version, err)
		return
	}
	w.activate(n, &c)
}

// activate brings a snapshot into force if its version is higher. c is the change that
// led to it, nil if the snapshot was loaded complete.
func (w *Watcher) activate(s *Snapshot, c *Change) {
	w.mu.Lock()
	if s.version <= w.snapshot.version {
		w.mu.Unlock()
		return
	}
	w.snapshot = s
	if c != nil {
		w.recentChanges = append(w.recentChanges, *c)
		w.recentChanges = w.recentChanges[max(0, len(w.recentChanges)-maxChanges):]
	}
	w.mu.Unlock()
	klog.Infof("configurer: version %d is in force.", s.version)
	if w.reporter != nil {
		w.reporter.SetConfigVersion(s.version)
	}
}

// recordConfirmation records that the version in force was the head at a time.
func (w *Watcher) recordConfirmation(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.confirmedAt) {
		w.confirmedAt = at
	}
}

// Snapshot returns the declarations in force.
func (w *Watcher) Snapshot() *Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.snapshot
}

// Confirmed reports whether the head was confirmed within the last confirmationLifetime.
func (w *Watcher) Confirmed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.confirmedAt.IsZero() && time.Since(w.confirmedAt) < confirmationLifetime
}

// Refresh confirms the head at once if it is unconfirmed, and reports whether it is
// confirmed now.
func (w *Watcher) Refresh(ctx context.Context) bool {
	if w.Confirmed() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	w.Tick(ctx)
	return w.Confirmed()
}

// InFlight returns an account's in-flight limit as declared in the version in force.
func (w *Watcher) InFlight(account string) (int, bool) { return w.Snapshot().InFlight(account) }

// Windows returns a replica's initial and maximum window as declared in the version in force.
func (w *Watcher) Windows(id string) (first, limit int, ok bool) {
	t, _, ok := w.Snapshot().Replica(id)
	return t.Window, t.WindowLimit, ok
}
