package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/placer"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/tracker"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// testWire names the headers of these tests.
type testWire struct{}

func (testWire) Outgoing(q *forwarder.Request, o forwarder.Order) http.Header {
	h := q.Header.Clone()
	h.Del("Content-Length") // The connector says how long the whole body is.
	h.Set("Instance", o.Replica)
	h.Set("Left", fmt.Sprint(o.Left.Milliseconds()))
	return h
}

func (testWire) Incoming(status int, h http.Header) forwarder.Answer {
	return forwarder.Answer{Request: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Elsewhere: status == http.StatusMisdirectedRequest}
}

func (testWire) Reply(h http.Header) http.Header { return h.Clone() }

// arrival is a request as a replica got it.
type arrival struct {
	replica int
	target  string
	body    string
	left    string
}

// rig is a forwarder before replicas that behave as told.
type rig struct {
	t         *testing.T
	store     *emulator.Store
	forwarder *forwarder.Forwarder
	catalog   *cataloger.Keeper
	tracker   *tracker.Tracker
	front     *httptest.Server

	mu       sync.Mutex
	arrivals []arrival
	// gone gets a value when a replica sees its caller leave.
	gone chan struct{}
	ids  int
}

// behaviour is what a replica does with a request.
type behaviour func(w http.ResponseWriter, r *http.Request)

func newRig(t *testing.T, replicas ...behaviour) *rig {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := &rig{t: t, store: emulator.NewStore(), catalog: &cataloger.Keeper{}, tracker: tracker.New(tracker.Options{}), gone: make(chan struct{}, 8)}
	var list []*tracker.Replica
	for i, b := range replicas {
		s := httptest.NewServer(g.record(i, b))
		t.Cleanup(s.Close)
		list = append(list, &tracker.Replica{ID: fmt.Sprint(i), Service: "s", Address: strings.TrimPrefix(s.URL, "http://"), Slots: 4})
	}
	g.tracker.Replace(list, time.Now())
	g.forwarder = forwarder.New(forwarder.Parts{
		Catalog: g.catalog, Replicas: g.tracker, Turns: archivist.New(g.store, archivist.Options{RowBytes: 1000, CacheBytes: 10_000}),
		Budgets: budgeter.Start(ctx, g.store, "me"), Recorder: recorder.Start(ctx, io.Discard), Scope: tally.NoopScope, Wire: testWire{},
	}, forwarder.Options{StorePatience: 100 * time.Millisecond, ComeBack: time.Second, OutageComeBack: time.Second})
	g.front = httptest.NewServer(http.HandlerFunc(g.serve))
	t.Cleanup(func() {
		g.front.Close()
		cancel()
	})
	return g
}

// declare puts routes for all kinds in force.
func (g *rig) declare() *rig {
	share := []cataloger.Share{{Service: "s", Weight: 1}}
	g.catalog.Apply(cataloger.New(1, []*cataloger.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: cataloger.Safe, Attempts: 2, Shares: share, Timeout: 20 * time.Second},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: cataloger.Unsafe, Attempts: 2, Shares: share, Timeout: 20 * time.Second},
		{Name: "turn", Host: "h", Prefix: "/turn/", Kind: cataloger.Streaming, Attempts: 1, Retain: true, Shares: share, Timeout: 20 * time.Second},
		{Name: "gone", Host: "h", Prefix: "/gone/", Kind: cataloger.Safe, Shares: []cataloger.Share{{Service: "none", Weight: 1}}},
	}, []*cataloger.Service{{Name: "s", EventTokens: 10}}, cataloger.Limits{}))
	return g
}

func (g *rig) record(i int, b behaviour) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		g.mu.Lock()
		g.arrivals = append(g.arrivals, arrival{replica: i, target: r.RequestURI, body: string(body), left: r.Header.Get("Left")})
		n := len(g.arrivals)
		g.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", fmt.Sprint(n))
		b(w, r)
	})
}

// serve is the adapter of these tests.
func (g *rig) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	q := &forwarder.Request{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Host: r.Host, Name: "h", Path: r.URL.Path,
		Header: r.Header, Body: body, Arrived: time.Now(), Patience: 10 * time.Second, Parent: r.Header.Get("Parent"), MaxTokens: 20,
		Parts: []placer.Part{{ID: "p", Tokens: 5}},
	}
	if p := r.Header.Get("Patience"); p != "" {
		q.Patience, _ = time.ParseDuration(p)
	}
	if b := r.Header.Get("Budget"); b != "" {
		q.Program, q.Budgeted = "p", true
		_, _ = fmt.Sscan(b, &q.Budget)
	}
	g.forwarder.Serve(r.Context(), w, q)
}

// outcome is an answer as a client sees it.
type outcome struct {
	status int
	body   string
	header http.Header
	err    error
}

func (g *rig) ask(method, target, body string, header ...string) outcome {
	g.t.Helper()
	g.ids++
	return g.askAs(context.Background(), fmt.Sprint("id-", g.ids), method, target, body, header...)
}

func (g *rig) askAs(ctx context.Context, id, method, target, body string, header ...string) outcome {
	req, err := http.NewRequestWithContext(ctx, method, g.front.URL+target, strings.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	req.Header.Set("Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, body: string(data), header: resp.Header, err: err}
}

func (g *rig) seen() []arrival {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]arrival(nil), g.arrivals...)
}

func fine(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func elsewhere(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }

func own(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "its own")
}

func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func cutBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func foreign(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "somebody")
	w.Header().Set("Connection", "close")
	_, _ = io.WriteString(w, "another's")
}

// events streams two events and ends, or breaks off.
func events(whole bool) behaviour {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 2 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if !whole {
			_, _ = io.WriteString(w, "id: 2\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

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
