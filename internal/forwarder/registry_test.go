package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// registryPeriod is the time between two reads of a fixture's registry.
	registryPeriod = 50 * time.Millisecond
	reportTarget   = "/report"
)

// putRows changes rows of the registry, and reads it.
func (f *fixture) putRows(rows ...tracker.Row) {
	f.mu.Lock()
	if f.rows == nil {
		f.rows = map[string]*tracker.Replica{}
	}
	for _, r := range rows {
		f.rows[r.ID] = r.Replica
	}
	f.mu.Unlock()
	f.readRegistry()
}

// readRegistry passes the registry to the tracker, after each replica has written its row again.
func (f *fixture) readRegistry() {
	began := time.Now()
	f.mu.Lock()
	var rows []tracker.Row
	for id, r := range f.rows {
		row := tracker.Row{ID: id}
		if known := f.tracker.Find(id); f.quietRows && r != nil && known != nil && known.StartedMS == r.StartedMS {
			continue
		}
		if r != nil {
			next := *r
			next.Sequence++
			f.rows[id], row.Replica = &next, &next
		}
		rows = append(rows, row)
	}
	f.tracker.Update(copyRows(rows), time.Now())
	f.mu.Unlock()
	if _, version, err := f.store.List(context.Background(), "registry"); err == nil {
		f.tracker.ReachedVersion(version)
	}
	f.tracker.ReadCompleted(began)
}

// copyRows returns rows that the tracker may change.
func copyRows(rows []tracker.Row) []tracker.Row {
	list := make([]tracker.Row, 0, len(rows))
	for _, r := range rows {
		if r.Replica != nil {
			next := *r.Replica
			r.Replica = &next
		}
		list = append(list, r)
	}
	return list
}

// registryLoop reads the registry of a fixture again and again.
type registryLoop struct {
	fixture     *fixture
	delay       time.Duration
	once        sync.Once
	done, ended chan struct{}
}

// startRegistry reads the registry again and again, from a delay on.
func (f *fixture) startRegistry(delay time.Duration) {
	f.registry = &registryLoop{fixture: f, delay: delay, done: make(chan struct{}), ended: make(chan struct{})}
	f.t.Cleanup(f.registry.stop)
	go f.registry.run()
}

// stop ends the reads of the registry.
func (r *registryLoop) stop() {
	r.once.Do(func() { close(r.done) })
	<-r.ended
}

func (r *registryLoop) run() {
	defer close(r.ended)
	time.Sleep(r.delay)
	for {
		select {
		case <-time.After(registryPeriod):
			r.fixture.readRegistry()
		case <-r.done:
			return
		}
	}
}

// serveReport answers with the start time of a replica. Replicas without a row have none.
func (f *fixture) serveReport(w http.ResponseWriter, replica int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	if r := f.rows[fmt.Sprint(replica)]; r != nil && !f.silentReports {
		_, _ = fmt.Fprint(w, r.StartedMS)
	}
}

// restart makes a replica another process, of another version, whose row has not been read yet.
func (f *fixture) restart(replica int, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.rows[fmt.Sprint(replica)]
	// No two processes of a replica start in one millisecond.
	next.StartedMS, next.Version = max(time.Now().UnixMilli(), next.StartedMS+1), version
	f.rows[next.ID] = &next
}

// reportsAsked returns how many reports replicas were asked for.
func (f *fixture) reportsAsked() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports
}

// testReports implements forwarder.Reports with a plain number.
type testReports struct{}

func (testReports) Target() string { return reportTarget }

func (testReports) StartedMS(report []byte) (int64, bool) {
	var started int64
	_, err := fmt.Sscan(string(report), &started)
	return started, err == nil
}
