package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/authenticator"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/granter"
	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/internal/tracker"
	"pimentorail.example/pimentorail/internal/tunneler"
	"pimentorail.example/pimentorail/internal/versioner"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// testCodec implements forwarder.Codec with short header names.
type testCodec struct{}

func (testCodec) EncodeRequest(q *forwarder.Request, m forwarder.RequestMetadata) http.Header {
	h := q.Header.Clone()
	h.Del("Content-Length") // The connector sets the length, which includes the history.
	h.Set("Instance", m.ReplicaID)
	h.Set("Left", fmt.Sprint(m.Remaining.Milliseconds()))
	h.Set("Urgency", fmt.Sprint(m.Urgency))
	return h
}

func (testCodec) DecodeResponse(status int, h http.Header) forwarder.ResponseMetadata {
	if h.Get("Panic") != "" {
		panic("odd header")
	}
	limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
	return forwarder.ResponseMetadata{
		RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != "", Limit: limit, HasLimit: err == nil,
	}
}

func (testCodec) ClientHeader(h http.Header) http.Header { return h.Clone() }

// arrival is a request as a replica received it.
type arrival struct {
	replica   int
	target    string
	body      string
	remaining string
	urgency   string
}

// fixture runs a forwarder in front of replicas with given behaviours.
type fixture struct {
	t          *testing.T
	store      *emulator.Store
	forwarder  *forwarder.Forwarder
	placements *selector.Selector
	catalog    *cataloger.Keeper
	tracker    *tracker.Tracker
	server     *httptest.Server
	replicas   []*tracker.Replica

	mu       sync.Mutex
	arrivals []arrival
	// callerGone receives a value when a replica sees that its caller has disconnected.
	callerGone chan struct{}
	lastID     int
	// rows is the registry of replicas by id, empty if the replicas are never read again, and
	// reports the number of reports that replicas were asked for. Silent reports name no start.
	rows          map[string]*tracker.Replica
	reports       int
	registry      *registryLoop
	silentReports bool
	// quietRows is set if the registry's feed leaves out rows of which the sequence alone changed.
	quietRows bool
	servers   []*httptest.Server
	// onlyServing is the replica that serves while the others refuse, nil if all serve.
	onlyServing *int
	// rowBytes and historyBytes configure the archivist, and storeTimeout the forwarder.
	rowBytes, historyBytes int
	storeTimeout           time.Duration
	// tunnels lead to replicas through a peer; nil for none.
	tunnels *tunneler.Tunneler
	// responseBytes limits the memory of responses, zero for no limit.
	responseBytes int64
}

// behaviour is a replica's handler.
type behaviour func(w http.ResponseWriter, r *http.Request)

func newFixture(t *testing.T, replicas ...behaviour) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &fixture{t: t, rowBytes: 1000, storeTimeout: 100 * time.Millisecond, store: emulator.NewStore(), catalog: &cataloger.Keeper{}, tracker: tracker.New(tracker.Options{}), callerGone: make(chan struct{}, 8)}
	var list []*tracker.Replica
	for i, b := range replicas {
		s := httptest.NewServer(f.record(i, b))
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
		list = append(list, &tracker.Replica{ID: fmt.Sprint(i), Service: "s", Address: strings.TrimPrefix(s.URL, "http://"), Slots: 4})
	}
	f.replicas = list
	f.tracker.Replace(list, time.Now())
	f.startForwarder(ctx)
	f.server = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(func() {
		f.server.Close()
		cancel()
	})
	return f
}

// startForwarder starts a forwarder with empty memory, in place of an earlier one.
func (f *fixture) startForwarder(ctx context.Context) {
	turns := archivist.New(f.store, archivist.Options{RowBytes: f.rowBytes, CacheBytes: 10_000, HistoryBytes: f.historyBytes})
	lines := logger.Start(ctx, io.Discard)
	f.placements = selector.Start(ctx, f.tracker, nil, lines, selector.Options{})
	f.forwarder = forwarder.New(forwarder.Dependencies{
		Catalog: f.catalog, Placements: f.placements, Programs: granter.Start(ctx, turns, budgeter.Start(ctx, f.store, "me"), nil, lines, granter.Options{}), Logger: lines,
		Isolator: isolator.Start(ctx, f.store, lines, isolator.Options{Name: "me", Crashed: connector.Refused}),
		Versions: versioner.Start(ctx, f.store), Connector: connector.New(), Tunnels: f.tunnels,
		Reports: testReports{}, Scope: tally.NoopScope, Codec: testCodec{},
	}, forwarder.Options{StoreTimeout: f.storeTimeout, RetryAfter: time.Second, OutageRetryAfter: time.Second, ResponseBytes: f.responseBytes})
}

// applyRoutes configures routes of all kinds.
func (f *fixture) applyRoutes() *fixture {
	share := []cataloger.Share{{Service: "s", Weight: 1}}
	f.catalog.Apply(cataloger.New(1, []*cataloger.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: cataloger.Safe, MaxRuns: 2, Shares: share, Timeout: 20 * time.Second},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: cataloger.Unsafe, MaxRuns: 2, Shares: share, Timeout: 20 * time.Second},
		{Name: "turn", Host: "h", Prefix: "/turn/", Kind: cataloger.Streaming, MaxRuns: 1, Retain: true, Shares: share, Timeout: 20 * time.Second},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: cataloger.Streaming, MaxRuns: 1, Resumable: true, Shares: share, Timeout: 20 * time.Second},
		{Name: "gone", Host: "h", Prefix: "/gone/", Kind: cataloger.Safe, Shares: []cataloger.Share{{Service: "none", Weight: 1}}},
	}, []*cataloger.Service{{Name: "s", EventTokens: 10, Model: true}}, cataloger.Limits{}))
	return f
}

func (f *fixture) record(i int, b behaviour) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI == reportTarget {
			f.serveReport(w, i)
			return
		}
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.arrivals = append(f.arrivals, arrival{replica: i, target: r.RequestURI, body: string(body), remaining: r.Header.Get("Left"), urgency: r.Header.Get("Urgency")})
		n := len(f.arrivals)
		refuses := f.onlyServing != nil && *f.onlyServing != i
		f.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", fmt.Sprint(n))
		if refuses {
			notRun(w, r)
			return
		}
		b(w, r)
	})
}

// serve decodes a client's request and passes it to the forwarder.
func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	q := &forwarder.Request{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Host: r.Host, Hostname: "h", Path: r.URL.Path,
		Header: r.Header, Body: body, Arrived: time.Now(), Timeout: 10 * time.Second, Parent: r.Header.Get("Parent"), MaxTokens: 20,
		Parts: []ranker.Part{{ID: "p", Tokens: 5}}, LastEventID: r.Header.Get("Last-Event"), Resumes: r.Header.Get("Resumes"), Caller: r.Header.Get("Caller"),
		Credential: authenticator.Parse(r.Header["Authorization"]),
	}
	if p := r.Header.Get("Patience"); p != "" {
		q.Timeout, _ = time.ParseDuration(p)
	}
	q.Program = r.Header.Get("Program")
	q.FinishWithin, _ = time.ParseDuration(r.Header.Get("Finish"))
	if b := r.Header.Get("Budget"); b != "" {
		q.Program, q.Budgeted = "p", true
		_, _ = fmt.Sscan(b, &q.Budget)
	}
	f.forwarder.Serve(r.Context(), w, q)
}

// response is a response as the client receives it.
type response struct {
	status int
	body   string
	header http.Header
	err    error
}

func (f *fixture) send(method, target, body string, header ...string) response {
	f.t.Helper()
	f.lastID++
	return f.sendAs(context.Background(), fmt.Sprint("id-", f.lastID), method, target, body, header...)
}

func (f *fixture) sendAs(ctx context.Context, id, method, target, body string, header ...string) response {
	req, err := http.NewRequestWithContext(ctx, method, f.server.URL+target, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(data), header: resp.Header, err: err}
}

func (f *fixture) received() []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]arrival(nil), f.arrivals...)
}

func serveOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func misdirected(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func ownFailure(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "its own")
}

func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncateBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func foreignResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "somebody")
	w.Header().Set("Connection", "close")
	_, _ = io.WriteString(w, "another's")
}

// streamEvents sends two events, after the last one that the client has, and then ends, or aborts
// within a third event.
func streamEvents(complete bool) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		first := 0
		if last, err := strconv.Atoi(r.Header.Get("Last-Event")); err == nil {
			first = last + 1
		}
		for i := first; i < first+2; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if !complete {
			_, _ = fmt.Fprintf(w, "id: %d\nda", first+2)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}
