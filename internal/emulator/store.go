package emulator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
)

// StoreFaults selects the faults that a Store injects.
type StoreFaults struct {
	// Down makes every request fail without effect.
	Down bool `json:"down"`
	// LoseEvery drops the reply of every nth commit after it took effect; zero drops none.
	LoseEvery int `json:"lose-every"`
	// DelayMS delays every request, in milliseconds.
	DelayMS int `json:"delay-ms"`
	// ListLagMS is the delay until the list of VMs shows a change, in milliseconds.
	ListLagMS int `json:"list-lag-ms"`
}

// Store is an in-memory table service, object store and list of VMs.
type Store struct {
	mu           sync.Mutex
	rows         *btree.BTreeG[storer.Row]
	objects      map[string][]byte
	version      uint64
	commits      int
	reads        int
	bytesWritten int
	faults       StoreFaults
	vms          []storer.VM
	previousVMs  []storer.VM
	vmsChangedAt time.Time
	// changes holds all changes after droppedVersion.
	changes        []storer.Change
	droppedVersion uint64
}

// NewStore returns an empty store that injects no faults.
func NewStore() *Store {
	less := func(a, b storer.Row) bool { return a.Key < b.Key }
	return &Store{rows: btree.NewG(16, less), objects: map[string][]byte{}}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(vms []storer.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previousVMs, s.vms, s.vmsChangedAt = s.vms, slices.Clone(vms), time.Now()
}

// VMs returns the list of VMs. It lags behind SetVMs by ListLagMS.
func (s *Store) VMs(context.Context) ([]storer.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.vmsChangedAt) < time.Duration(s.faults.ListLagMS)*time.Millisecond {
		return slices.Clone(s.previousVMs), nil
	}
	return slices.Clone(s.vms), nil
}

// StoreCounts counts the requests that a Store has served.
type StoreCounts struct {
	Commits int `json:"commits"`
	Reads   int `json:"reads"`
	Bytes   int `json:"bytes-written"`
	Rows    int `json:"rows"`
}

// Counts returns the counts of the requests served so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCounts{Commits: s.commits, Reads: s.reads, Bytes: s.bytesWritten, Rows: s.rows.Len()}
}

// applyFaults delays or fails a request as the injected faults demand.
func (s *Store) applyFaults(ctx context.Context) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		case <-ctx.Done():
			return errors.Wrap(storer.ErrUnavailable, "slow")
		}
	}
	if f.Down {
		return errors.Wrap(storer.ErrUnavailable, "down")
	}
	return ctx.Err()
}

// Get implements storer.Table.
func (s *Store) Get(ctx context.Context, key string) (storer.Row, error) {
	if err := s.applyFaults(ctx); err != nil {
		return storer.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	row, ok := s.rows.Get(storer.Row{Key: key})
	if !ok {
		return storer.Row{Key: key}, nil
	}
	return row, nil
}

// Scan implements storer.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := s.applyFaults(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var rows []storer.Row
	s.rows.AscendGreaterOrEqual(storer.Row{Key: max(prefix, after)}, func(r storer.Row) bool {
		if !strings.HasPrefix(r.Key, prefix) || len(rows) >= limit {
			return false
		}
		if r.Key > after {
			rows = append(rows, r)
		}
		return true
	})
	return rows, nil
}

// Commit implements storer.Table.
func (s *Store) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	for _, c := range tx.Conditions {
		row, _ := s.rows.Get(storer.Row{Key: c.Key})
		if row.Version != c.Version {
			return 0, errors.Wrap(storer.ErrConflict, c.Key)
		}
	}
	s.version++
	for _, w := range tx.Writes {
		s.applyWrite(w)
	}
	if s.faults.LoseEvery > 0 && s.commits%s.faults.LoseEvery == 0 {
		return 0, errors.Wrap(storer.ErrUnavailable, "reply lost")
	}
	return s.version, nil
}

func (s *Store) applyWrite(w storer.Write) {
	row := storer.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: s.version}
	s.changes = append(s.changes, storer.Change{Row: row, Removed: w.Delete})
	if w.Delete {
		s.rows.Delete(storer.Row{Key: w.Key})
		return
	}
	s.bytesWritten += len(w.Key) + len(w.Value)
	s.rows.ReplaceOrInsert(row)
}

// Put implements storer.Objects.
func (s *Store) Put(ctx context.Context, key string, data []byte) error {
	if err := s.applyFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = slices.Clone(data)
	return nil
}

// Fetch implements storer.Objects.
func (s *Store) Fetch(ctx context.Context, key string) ([]byte, error) {
	if err := s.applyFaults(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	data, ok := s.objects[key]
	if !ok {
		return nil, storer.ErrAbsent
	}
	return data, nil
}
