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
		// Either replica may be chosen first; each misbehaves once.
		var once sync.Once
		b := func(w http.ResponseWriter, r *http.Request) {
			done := false
			once.Do(func() { done = true; first(w, r) })
			if !done {
				fine(w, r)
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
		{"fine", "/safe/a%2Fb?x=%20y", []behaviour{fine}, 200, "fine", 1},
		{"safe, dropped once", "/safe/", both(drop), 200, "fine", 2},
		{"safe, cut once", "/safe/", both(cutBody), 200, "fine", 2},
		{"safe, another's answer once", "/safe/", both(foreign), 200, "fine", 2},
		{"safe, all drop", "/safe/", []behaviour{drop, drop, drop}, 502, "", 2},
		{"unsafe, dropped", "/unsafe/", both(drop), 502, "", 1},
		{"unsafe, cut", "/unsafe/", both(cutBody), 502, "", 1},
		{"unsafe, another's answer", "/unsafe/", both(foreign), 502, "", 1},
		{"unsafe, not run once", "/unsafe/", both(notRun), 200, "fine", 2},
		{"unsafe, elsewhere once", "/unsafe/", both(elsewhere), 200, "fine", 2},
		{"unsafe, all refuse", "/unsafe/", []behaviour{notRun, notRun, notRun}, 503, "", 3},
		{"the replica's own failure", "/unsafe/", []behaviour{own}, 500, "its own", 1},
		{"no replica", "/safe/", nil, 503, "", 0},
		{"no service", "/gone/", []behaviour{fine}, 503, "", 0},
		{"no route", "/nowhere/", []behaviour{fine}, 404, "", 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, row.replicas...).declare()
			o := g.ask(http.MethodPost, row.target, "payload")
			is.NoErr(o.err)
			is.Equal(o.status, row.status)
			seen := g.seen()
			is.Equal(len(seen), row.arrivals)
			for _, a := range seen {
				is.Equal(a.target, row.target)
				is.Equal(a.body, "payload")
				is.True(a.left != "0")
			}
			if row.body != "" {
				is.Equal(o.body, row.body)
				is.True(o.header.Get("Stamp") != "")
			} else {
				is.Equal(o.header.Get("Stamp"), "") // Our own failures bear no replica's stamp.
			}
			if row.status == 503 {
				is.True(o.header.Get("Retry-After") != "")
			}
		})
	}
}

func TestBeforeTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	g := newRig(t, fine)
	is.Equal(g.ask(http.MethodGet, "/safe/", "").status, 503) // Never a 404 that a known route would not get.
}

func TestNothingIsSentToAClosedPort(t *testing.T) {
	is := is.New(t)
	g := newRig(t, fine).declare()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := &tracker.Replica{ID: "x", Service: "s", Address: l.Addr().String(), Slots: 4}
	is.NoErr(l.Close())
	g.tracker.Replace([]*tracker.Replica{closed}, time.Now())
	o := g.ask(http.MethodPost, "/unsafe/", "x")
	is.Equal(o.status, 503) // It has not run, and that is certain.
}

func TestATurnCarriesItsHistory(t *testing.T) {
	is := is.New(t)
	g := newRig(t, events(true)).declare()
	o := g.askAs(context.Background(), "one", http.MethodPost, "/turn/", "hello ")
	is.Equal(o.status, 200)
	is.Equal(g.askAs(context.Background(), "two", http.MethodPost, "/turn/", "again ", "Parent", "one").status, 200)
	is.Equal(g.askAs(context.Background(), "side", http.MethodPost, "/turn/", "aside ", "Parent", "one").status, 200)
	seen := g.seen()
	is.Equal(seen[0].body, "hello ")
	is.Equal(seen[1].body, "hello word0\nword1\nagain ")
	is.Equal(seen[2].body, "hello word0\nword1\naside ")
	is.Equal(g.ask(http.MethodPost, "/turn/", "x", "Parent", "nobody").status, 404)
	g.store.SetFaults(emulator.StoreFaults{Down: true})
	is.Equal(g.ask(http.MethodPost, "/turn/", "x", "Parent", "elsewhere").status, 503) // Nobody can be certain.
	is.Equal(len(g.seen()), 3)
}

func TestATurnThatIsNotKeptDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	g := newRig(t, events(true)).declare()
	g.store.SetFaults(emulator.StoreFaults{Down: true})
	o := g.askAs(context.Background(), "one", http.MethodPost, "/turn/", "hello", "Patience", "500ms")
	is.Equal(o.status, 200)
	is.True(strings.Contains(o.body, "word1")) // The events come, the end does not.
	is.True(o.err != nil)
	g.store.SetFaults(emulator.StoreFaults{})
	is.Equal(g.ask(http.MethodPost, "/turn/", "x", "Parent", "one").status, 404)
}

func TestAStreamThatBreaksOffDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	g := newRig(t, events(false)).declare()
	o := g.askAs(context.Background(), "one", http.MethodPost, "/turn/", "hello")
	is.True(o.err != nil)
	is.Equal(o.body, "id: 0\ndata: word0\n\nid: 1\ndata: word1\n\n") // Whole events only.
	is.Equal(len(g.seen()), 1)
}

func TestTheBudgetIsKept(t *testing.T) {
	is := is.New(t)
	g := newRig(t, events(true)).declare()
	for range 2 {
		is.Equal(g.ask(http.MethodPost, "/turn/", "x", "Budget", "45").status, 200)
	}
	is.Equal(g.ask(http.MethodPost, "/turn/", "x", "Budget", "45").status, 402) // 40 of 45 are spent.
	is.Equal(len(g.seen()), 2)
}

func TestTheReplicaStopsWhenTheClientLeaves(t *testing.T) {
	is := is.New(t)
	var g *rig
	begun := make(chan struct{})
	g = newRig(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		g.gone <- struct{}{}
	}).declare()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	is.True(g.askAs(ctx, "one", http.MethodPost, "/unsafe/", "x").err != nil)
	<-g.gone
}

func TestTheDeadline(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	g := newRig(t, func(http.ResponseWriter, *http.Request) { <-release }).declare()
	o := g.ask(http.MethodPost, "/unsafe/", "x", "Patience", "200ms")
	close(release)
	is.Equal(o.status, 504) // It may have run.
	is.Equal(len(g.seen()), 1)
}
