package emulator

import (
	"context"
	"sort"
	"strings"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
)

// feedPoll is how often a waiting feed looks for changes.
const feedPoll = 5 * time.Millisecond

// List implements storer.Feed.
func (s *Store) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	rows, err := storer.All(ctx, s, storer.Prefix(table))
	return rows, version, err
}

// Changes implements storer.Feed.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	if err := s.enter(ctx); err != nil {
		return nil, 0, err
	}
	for end := time.Now().Add(wait); ; {
		changes, version, err := s.since(table, after)
		if err != nil || len(changes) > 0 || !time.Now().Before(end) {
			return changes, version, err
		}
		select {
		case <-time.After(feedPoll):
		case <-ctx.Done():
			return nil, 0, storer.ErrUnavailable
		}
	}
}

func (s *Store) since(table string, after uint64) ([]storer.Change, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return nil, 0, storer.ErrHistory
	}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > after })
	var list []storer.Change
	for _, c := range s.log[first:] {
		if strings.HasPrefix(c.Key, storer.Prefix(table)) {
			list = append(list, c)
		}
	}
	return list, s.version, nil
}

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.dropped = nil, s.version
}
