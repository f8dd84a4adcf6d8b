package emulator

import (
	"context"
	"sort"
	"strings"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
)

// feedPollInterval is the interval at which Changes checks for new changes while it waits.
const feedPollInterval = 5 * time.Millisecond

// List implements storer.Feed.
func (s *Store) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	rows, err := storer.ScanAll(ctx, s, storer.Prefix(table))
	return rows, version, err
}

// Changes implements storer.Feed.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	return s.waitForChanges(ctx, storer.Prefix(table), after, wait)
}

// ChangesOfAll is like Changes for all partitions of a table together.
func (s *Store) ChangesOfAll(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	return s.waitForChanges(ctx, table+"/", after, wait)
}

// waitForChanges returns the changes of the rows with a prefix.
func (s *Store) waitForChanges(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	if err := s.applyFaults(ctx); err != nil {
		return nil, 0, err
	}
	for end := time.Now().Add(wait); ; {
		changes, version, err := s.changesSince(prefix, after)
		if err != nil || len(changes) > 0 || !time.Now().Before(end) {
			return changes, version, err
		}
		select {
		case <-time.After(feedPollInterval):
		case <-ctx.Done():
			return nil, 0, storer.ErrUnavailable
		}
	}
}

func (s *Store) changesSince(prefix string, after uint64) ([]storer.Change, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedVersion {
		return nil, 0, storer.ErrHistoryGone
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > after })
	var changes []storer.Change
	for _, c := range s.changes[first:] {
		if strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes, s.version, nil
}

// DropHistory discards all recorded changes. A reader that asks for older ones must list
// the table again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.droppedVersion = nil, s.version
}
