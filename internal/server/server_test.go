package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/server"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/tracker"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// plainCodec implements forwarder.Codec with the headers of these tests.
type plainCodec struct{}

func (plainCodec) EncodeRequest(q *forwarder.Request, _ forwarder.RequestMetadata) http.Header {
	return q.Header
}

func (plainCodec) DecodeResponse(_ int, h http.Header) forwarder.ResponseMetadata {
	return forwarder.ResponseMetadata{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}

func (plainCodec) ClientHeader(h http.Header) http.Header { return h.Clone() }

// replica is a fake replica that responds with its name. It announces a request to /slow/
// in arrived and responds to it once release is closed.
type replica struct {
	*httptest.Server
	arrived chan struct{}
	release chan struct{}
}

func newReplica(t *testing.T, name string) *replica {
	t.Helper()
	r := &replica{arrived: make(chan struct{}, 16), release: make(chan struct{})}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/slow/" {
			r.arrived <- struct{}{}
			<-r.release
		}
		w.Header().Set("Id", q.Header.Get("Id"))
		_, _ = io.WriteString(w, name)
	}))
	t.Cleanup(r.Close)
	return r
}

// daemon runs a server.Daemon over a fake store.
type daemon struct {
	t      *testing.T
	store  *emulator.Store
	front  string
	ready  string
	cancel context.CancelFunc
	ended  chan error
	lines  *lineFinder
	once   sync.Once
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := emulator.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// startDaemon returns a daemon that listens. Another process or replica may take a free
// address before the daemon listens there, for which the daemon then waits; a new one is
// started on other addresses.
func startDaemon(t *testing.T) *daemon {
	t.Helper()
	for {
		d := launchDaemon(t)
		if d.waitUntilListening() {
			t.Cleanup(func() { _ = d.stop() })
			return d
		}
		_ = d.stop()
	}
}

func launchDaemon(t *testing.T) *daemon {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{t: t, store: emulator.NewStore(), front: freeAddress(t), ready: freeAddress(t), cancel: cancel, ended: make(chan error, 1), lines: &lineFinder{found: make(chan string, 1)}}
	o := server.Options{
		Name: "d-1", VM: "d", Zone: "z", Zones: 1, ClientAddress: d.front, ReadyAddress: d.ready, MetricsAddress: freeAddress(t), ReadyPath: "/ready",
		Grace: 3 * time.Second, RowBytes: 1000, MemoryBytes: 64 << 20, Output: d.lines,
	}
	p := server.Platform{
		Table: d.store, Feed: d.store, Codec: plainCodec{}, CatalogTable: "config", CatalogKey: "all", DecodeCatalog: decodeCatalog,
		ReplicaTable: "replicas", DecodeReplica: decodeReplica,
		Ingress: func(f *forwarder.Forwarder, _ *cataloger.Keeper) http.Handler { return ingress{f} },
	}
	go d.run(ctx, o, p)
	return d
}

// waitUntilListening returns false if the daemon ended before it listened, or waits for an
// address that another process took.
func (d *daemon) waitUntilListening() bool {
	select {
	case err := <-d.ended:
		d.t.Logf("the daemon did not start: %v", err)
		d.ended <- err
		return false
	case line := <-d.lines.found:
		d.t.Log(line)
		return strings.Contains(line, listeningLine)
	}
}

func (d *daemon) run(ctx context.Context, o server.Options, p server.Platform) {
	d.ended <- server.Run(ctx, o, p)
}

// stop performs a planned stop and returns the error of the daemon.
func (d *daemon) stop() (err error) {
	d.once.Do(func() {
		d.cancel()
		err = <-d.ended
	})
	return err
}

// decodeCatalog decodes "VERSION SERVICE" as a catalog that routes all requests to one
// service.
func decodeCatalog(value []byte) (*cataloger.Catalog, error) {
	var version uint64
	var service string
	if _, err := fmt.Sscan(string(value), &version, &service); err != nil {
		return nil, err
	}
	r := &cataloger.Route{Host: "h", Prefix: "/", Shares: []cataloger.Share{{Service: service, Weight: 1}}, Timeout: 20 * time.Second}
	return cataloger.New(version, []*cataloger.Route{r}, []*cataloger.Service{{Name: service}}, cataloger.Limits{}), nil
}

func decodeReplica(_ string, value []byte) (*tracker.Replica, error) {
	var r tracker.Replica
	err := json.Unmarshal(value, &r)
	return &r, err
}

// ingress converts HTTP requests to forwarder requests.
type ingress struct{ forwarder *forwarder.Forwarder }

// ServeHTTP implements http.Handler.
func (i ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.forwarder.Serve(r.Context(), w, &forwarder.Request{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Host: r.Host, Hostname: "h", Path: r.URL.Path,
		Header: http.Header{"Id": r.Header["Id"]}, Arrived: time.Now(), Timeout: clientTimeout(r),
	})
}

// clientTimeout returns the timeout that a client asks for, 20 s by default.
func clientTimeout(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.Header.Get("Patience")); err == nil {
		return d
	}
	return 20 * time.Second
}

func (d *daemon) put(key, value string) {
	d.t.Helper()
	if _, err := d.store.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: key, Value: []byte(value)}}}); err != nil {
		d.t.Fatal(err)
	}
}

func (d *daemon) register(id, service string, r *replica) {
	d.t.Helper()
	row, err := json.Marshal(tracker.Replica{ID: id, Service: service, Address: strings.TrimPrefix(r.URL, "http://"), Slots: 4, StartedMS: 1})
	if err != nil {
		d.t.Fatal(err)
	}
	d.put("replicas//"+id, string(row))
}

// get returns the status and the body of a response, or zero without a response.
func get(url string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Id", "1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// await repeats a request until it gets the expected response. Only the test's own time
// limit bounds it.
func (d *daemon) await(url string, status int, body string) {
	d.t.Helper()
	for {
		s, b := get(url)
		if s == status && (body == "" || b == body) {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
}

// TestADaysCourse takes one daemon through its states: no configuration, a valid one, one
// that can't be decoded, an older one, a lost history of changes, and an outage of the
// store. It guards against a 404 before the first configuration, a return to an older
// version, and requests that fail with the store although they don't need it.
func TestADaysCourse(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	front, ready := "http://"+d.front+"/x", "http://"+d.ready+"/ready"
	d.await(front, 503, "") // Without a configuration the status is 503, never 404.
	one, two := newReplica(t, "one"), newReplica(t, "two")
	d.register("a", "s", one)
	d.put("config//all", "3 s")
	d.await(ready, 200, "")
	d.await(front, 200, "one")
	d.put("config//all", "no configuration")
	d.put("config//all", "2 other") // An older version is not applied.
	d.register("b", "s2", two)
	d.store.DropHistory()
	d.put("config//all", "5 s2")
	d.await(front, 200, "two")
	d.store.SetFaults(emulator.StoreFaults{Down: true})
	d.await(ready, 503, "")
	status, body := get(front) // A request outside a program needs no store.
	is.Equal(status, 200)
	is.Equal(body, "two")
	d.store.SetFaults(emulator.StoreFaults{})
	d.await(ready, 200, "")
}

// TestAPlannedStopCutsNothing guards against requests that a planned stop refuses or cuts
// off while the balancer still sends clients to the daemon.
func TestAPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	r := newReplica(t, "done")
	d.register("a", "s", r)
	d.put("config//all", "1 s")
	d.await("http://"+d.front+"/x", 200, "done")
	bodies := make(chan string, 1)
	slow := &slowRequest{url: "http://" + d.front + "/slow/", bodies: bodies}
	go slow.run()
	<-r.arrived
	d.cancel()
	d.await("http://"+d.ready+"/ready", 503, "") // The daemon becomes unready before it refuses clients.
	status, _ := get("http://" + d.front + "/x")
	is.Equal(status, 200) // Requests that still arrive are served.
	close(r.release)
	is.Equal(<-bodies, "done")
	is.NoErr(d.stop())
}

// slowRequest sends one request and returns the body of its response in bodies.
type slowRequest struct {
	url    string
	bodies chan string
}

func (r *slowRequest) run() {
	_, body := get(r.url)
	r.bodies <- body
}
