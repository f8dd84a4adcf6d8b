package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/placer"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/seater"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/steward"
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
	turns := archivist.New(g.store, archivist.Options{RowBytes: 1000, CacheBytes: 10_000})
	lines := recorder.Start(ctx, io.Discard)
	g.forwarder = forwarder.New(forwarder.Parts{
		Catalog: g.catalog, Seats: seater.Start(ctx, g.tracker, nil, lines, seater.Options{}), Programs: steward.Start(ctx, turns, budgeter.Start(ctx, g.store, "me"), nil, lines, steward.Options{}), Recorder: lines,
		Scope: tally.NoopScope, Wire: testWire{},
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
