package follower_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/storer"
)

// feed is a table whose calls can be made to fail.
type feed struct {
	mu      sync.Mutex
	rows    map[string]string
	changes []storer.Change
	version uint64
	err     error
	// oldest is the oldest version after which all changes are retained.
	oldest uint64
}

func (f *feed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = value
	f.changes = append(f.changes, storer.Change{Row: storer.Row{Key: key, Value: []byte(value), Version: f.version}})
}

func (f *feed) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	delete(f.rows, key)
	f.changes = append(f.changes, storer.Change{Row: storer.Row{Key: key, Version: f.version}, Removed: true})
}

// dropHistory drops the retained changes, including those not yet read.
func (f *feed) dropHistory() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes, f.oldest = nil, f.version
}

// fail makes all calls return err, or succeed if it is nil.
func (f *feed) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *feed) List(context.Context, string) ([]storer.Row, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []storer.Row
	for k, v := range f.rows {
		rows = append(rows, storer.Row{Key: k, Value: []byte(v), Version: f.version})
	}
	return rows, f.version, f.err
}

func (f *feed) Changes(_ context.Context, _ string, after uint64, _ time.Duration) ([]storer.Change, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, 0, f.err
	}
	if after < f.oldest {
		return nil, 0, storer.ErrHistoryGone
	}
	var list []storer.Change
	for _, c := range f.changes {
		if c.Version > after {
			list = append(list, c)
		}
	}
	return list, f.version, nil
}

// recordingSink is a sink that holds a copy of the table and records outages.
type recordingSink struct {
	rows        map[string]string
	transitions []string
}

func (c *recordingSink) Replace(rows []storer.Row, _ uint64) {
	c.rows = map[string]string{}
	for _, r := range rows {
		c.rows[r.Key] = string(r.Value)
	}
}

func (c *recordingSink) Update(changes []storer.Change, _ uint64) {
	for _, x := range changes {
		if x.Removed {
			delete(c.rows, x.Key)
		} else {
			c.rows[x.Key] = string(x.Value)
		}
	}
}

func (c *recordingSink) StoreUnavailable(error) { c.transitions = append(c.transitions, "lost") }
func (c *recordingSink) StoreRecovered()        { c.transitions = append(c.transitions, "regained") }

// TestTheCopyFollows checks that the sink's copy equals the table after changes, outages
// and lost history, and that outages are reported.
func TestTheCopyFollows(t *testing.T) {
	rows := []struct {
		name        string
		change      func(f *feed)
		transitions []string
	}{
		{"changes", func(f *feed) { f.put("a", "2"); f.put("b", "1") }, nil},
		{"removal", func(f *feed) { f.remove("a") }, nil},
		{"history dropped between two polls", func(f *feed) { f.put("b", "1"); f.remove("a"); f.dropHistory() }, nil},
		{"outage", func(f *feed) {
			f.fail(storer.ErrUnavailable)
			time.Sleep(5 * time.Second)
			f.put("b", "1")
			f.fail(nil)
		}, []string{"lost", "regained"}},
		{"history dropped during an outage", func(f *feed) {
			f.fail(storer.ErrRefused)
			time.Sleep(5 * time.Second)
			f.remove("a")
			f.dropHistory()
			f.fail(nil)
		}, []string{"lost", "regained"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, c := &feed{rows: map[string]string{}}, &recordingSink{}
				f.put("a", "1")
				ctx, cancel := context.WithCancel(context.Background())
				x := follower.Start(ctx, f, c, follower.Options{Table: "t", PollInterval: 100 * time.Millisecond, Timeout: time.Second})
				time.Sleep(time.Second)
				row.change(f)
				time.Sleep(time.Second)
				cancel()
				_ = x.Wait()
				is.Equal(fmt.Sprint(c.rows), fmt.Sprint(f.rows))
				is.Equal(c.transitions, row.transitions)
			})
		})
	}
}
