package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/tracker"
)

func TestPlainRequests(t *testing.T) {
	both := func(first behaviour) []behaviour {
		// Either replica may be chosen first; whichever is first misbehaves once.
		var once sync.Once
		b := func(w http.ResponseWriter, r *http.Request) {
			done := false
			once.Do(func() { done = true; first(w, r) })
			if !done {
				serveOK(w, r)
			}
		}
		return []behaviour{b, b}
	}
	rows := []struct {
		name     string
		target   string
		replicas []behaviour
		status   int
		body     string
		arrivals int
	}{
		{"served", "/safe/a%2Fb?x=%20y", []behaviour{serveOK}, 200, "fine", 1},
		{"safe, connection dropped once", "/safe/", both(dropConnection), 200, "fine", 2},
		{"safe, body truncated once", "/safe/", both(truncateBody), 200, "fine", 2},
		{"safe, response to another request once", "/safe/", both(foreignResponse), 200, "fine", 2},
		{"safe, all drop the connection", "/safe/", []behaviour{dropConnection, dropConnection, dropConnection}, 502, "", 2},
		{"unsafe, connection dropped", "/unsafe/", both(dropConnection), 502, "", 1},
		{"unsafe, body truncated", "/unsafe/", both(truncateBody), 502, "", 1},
		{"unsafe, response to another request", "/unsafe/", both(foreignResponse), 502, "", 1},
		{"unsafe, not run once", "/unsafe/", both(notRun), 200, "fine", 2},
		{"unsafe, misdirected once", "/unsafe/", both(misdirected), 200, "fine", 2},
		{"unsafe, all refuse", "/unsafe/", []behaviour{notRun, notRun, notRun}, 503, "", 3},
		{"error response of the replica", "/unsafe/", []behaviour{ownFailure}, 500, "its own", 1},
		{"no replica", "/safe/", nil, 503, "", 0},
		{"no service", "/gone/", []behaviour{serveOK}, 503, "", 0},
		{"no route", "/nowhere/", []behaviour{serveOK}, 404, "", 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, row.replicas...).applyRoutes()
			o := f.send(http.MethodPost, row.target, "payload")
			is.NoErr(o.err)
			is.Equal(o.status, row.status)
			seen := f.received()
			is.Equal(len(seen), row.arrivals)
			for _, a := range seen {
				is.Equal(a.target, row.target)
				is.Equal(a.body, "payload")
				is.True(a.remaining != "0")
			}
			if row.body != "" {
				is.Equal(o.body, row.body)
				is.True(o.header.Get("Stamp") != "")
			} else {
				is.Equal(o.header.Get("Stamp"), "") // The forwarder's own errors have no Stamp header of a replica.
			}
			if row.status == 503 {
				is.True(o.header.Get("Retry-After") != "")
			}
		})
	}
}

func TestBeforeTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, serveOK)
	is.Equal(f.send(http.MethodGet, "/safe/", "").status, 503) // A 404 would be wrong, since the route may exist.
}

func TestNothingIsSentToAClosedPort(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, serveOK).applyRoutes()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := &tracker.Replica{ID: "x", Service: "s", Address: l.Addr().String(), Slots: 4}
	is.NoErr(l.Close())
	f.tracker.Replace([]*tracker.Replica{closed}, time.Now())
	o := f.send(http.MethodPost, "/unsafe/", "x")
	is.Equal(o.status, 503) // The request has certainly not run.
}

func TestATurnCarriesItsHistory(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(true)).applyRoutes()
	o := f.sendAs(context.Background(), "one", http.MethodPost, "/turn/", "hello ")
	is.Equal(o.status, 200)
	is.Equal(f.sendAs(context.Background(), "two", http.MethodPost, "/turn/", "again ", "Parent", "one").status, 200)
	is.Equal(f.sendAs(context.Background(), "side", http.MethodPost, "/turn/", "aside ", "Parent", "one").status, 200)
	seen := f.received()
	is.Equal(seen[0].body, "hello ")
	is.Equal(seen[1].body, "hello word0\nword1\nagain ")
	is.Equal(seen[2].body, "hello word0\nword1\naside ")
	is.Equal(f.send(http.MethodPost, "/turn/", "x", "Parent", "nobody").status, 404)
	f.store.SetFaults(emulator.StoreFaults{Down: true})
	is.Equal(f.send(http.MethodPost, "/turn/", "x", "Parent", "elsewhere").status, 503) // The outage hides whether the turn exists.
	is.Equal(len(f.received()), 3)
}

func TestATurnThatIsNotKeptDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(true)).applyRoutes()
	f.store.SetFaults(emulator.StoreFaults{Down: true})
	o := f.sendAs(context.Background(), "one", http.MethodPost, "/turn/", "hello", "Patience", "500ms")
	is.Equal(o.status, 200)
	is.True(strings.Contains(o.body, "word1")) // The events are forwarded, but the stream does not end properly.
	is.True(o.err != nil)
	f.store.SetFaults(emulator.StoreFaults{})
	is.Equal(f.send(http.MethodPost, "/turn/", "x", "Parent", "one").status, 404)
}

func TestAStreamThatBreaksOffDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(false)).applyRoutes()
	o := f.sendAs(context.Background(), "one", http.MethodPost, "/turn/", "hello")
	is.True(o.err != nil)
	is.Equal(o.body, "id: 0\ndata: word0\n\nid: 1\ndata: word1\n\n") // Only complete events are forwarded.
	is.Equal(len(f.received()), 1)
}

func TestTheBudgetIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(true)).applyRoutes()
	for range 2 {
		is.Equal(f.send(http.MethodPost, "/turn/", "x", "Budget", "45").status, 200)
	}
	is.Equal(f.send(http.MethodPost, "/turn/", "x", "Budget", "45").status, 402) // 40 of 45 are spent.
	is.Equal(len(f.received()), 2)
}

func TestTheReplicaStopsWhenTheClientLeaves(t *testing.T) {
	is := is.New(t)
	var f *fixture
	begun := make(chan struct{})
	f = newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		f.callerGone <- struct{}{}
	}).applyRoutes()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	is.True(f.sendAs(ctx, "one", http.MethodPost, "/unsafe/", "x").err != nil)
	<-f.callerGone
}

func TestTheDeadline(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { <-release }).applyRoutes()
	o := f.send(http.MethodPost, "/unsafe/", "x", "Patience", "200ms")
	close(release)
	is.Equal(o.status, 504) // The request may have run.
	is.Equal(len(f.received()), 1)
}
