package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// heldClients is the number of clients that read nothing, and heldSamples the number of
	// measurements while they wait.
	heldClients, heldSamples = 100, 10
	heldInterval             = 150 * time.Millisecond
	// settingsMemory is the memory limit in the settings of the daemon, and heldLimit that for
	// responses which follows from it.
	settingsMemory = 32 << 20
	heldLimit      = settingsMemory / 8
)

// sendRaw sends bytes that are not passed through an HTTP server, and the second part of them
// until the caller closes. ID stands for the id of the request.
func sendRaw(start, repeat string) behaviour {
	before, rest, named := strings.Cut(start, "ID")
	after := []byte(rest) // No copies for each request, which count as held.
	block := []byte(strings.Repeat(repeat, 1+1000/(len(repeat)+1)))
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/ordinary") {
			serveOK(w, r)
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		if named {
			_, err = io.WriteString(c, before+r.Header.Get("Id"))
		}
		if err == nil {
			_, err = c.Write(after)
		}
		if err == nil && repeat == "" {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		for err == nil {
			_, err = c.Write(block)
		}
	}
}

// silentClient sends a request and reads nothing of the response until the context ends.
type silentClient struct {
	fixture *fixture
	path    string
	id      string
	done    *sync.WaitGroup
}

func (c *silentClient) run(ctx context.Context) {
	defer c.done.Done()
	conn, err := net.Dial("tcp", strings.TrimPrefix(c.fixture.server.URL, "http://"))
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 3\r\n\r\none", c.path, c.id)
	<-ctx.Done()
}

// manyFields returns fields without values, which take far more memory than bytes.
func manyFields() string {
	var b strings.Builder
	for n := range 8000 {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestResponsesWithoutEndStayInTheMemory guards against what a faulty replica sends to many
// requests at once, and is held for clients that read nothing, until the process has no memory.
// An ordinary request of the same replica is served meanwhile.
func TestResponsesWithoutEndStayInTheMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\n"
	const stream = head + "Content-Type: text/event-stream\r\n\r\n"
	filler := strings.Repeat("more and more of it ", 100)
	long := strings.Repeat(filler, 500)
	for _, row := range []struct{ name, path, start, repeat string }{
		{"line of an event", "/stream/x", stream + "data: ", filler},
		{"line of an event that stalls", "/stream/x", stream + "data: " + long, ""},
		{"long events", "/stream/x", stream, "data: " + long + "\n\n"},
		{"lines of an event that stall", "/stream/x", stream + strings.Repeat("data: more and more of it\n", 40_000), ""},
		{"events of a kept turn", "/turn/x", stream, "data: " + filler + "\n\n"},
		{"body", "/safe/x", head + "Content-Length: 1000000000\r\n\r\n", filler},
		{"body that stalls", "/unsafe/x", head + "Content-Length: 1000000000\r\n\r\n" + long[:250_000], ""},
		{"head", "/unsafe/x", head + "X-More: ", filler},
		{"head that stalls", "/unsafe/x", head + "X-More: " + long[:60_000], ""},
		{"many fields of a head", "/unsafe/x", head + manyFields() + "Content-Length: 1000000\r\n\r\nmore", ""},
		{"many fields of a short head", "/unsafe/x", head + manyFields()[:3500] + ":\r\nContent-Length: 1000000\r\n\r\nmore", ""},
		{"header lines", "/unsafe/x", head, "X-More: and more\r\n"},
		{"chunk extension", "/stream/x", head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n5;more=", filler},
		{"trailer", "/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X-More: and more\r\n"},
		{"informational responses", "/unsafe/x", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"responses of other requests", "/unsafe/x", "", "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 4\r\n\r\nbody"},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, sendRaw(row.start, row.repeat)).applyRoutes()
			f.responseBytes = heldLimit
			lifetime, cancel := context.WithCancel(context.Background())
			defer cancel()
			f.startForwarder(lifetime)
			f.replicas[0].Slots = 10 * heldClients
			f.tracker.Replace(f.replicas, time.Now())
			before := heapBytes()
			ctx, stop := context.WithCancel(context.Background())
			var done sync.WaitGroup
			defer done.Wait()
			defer stop()
			for n := range heldClients {
				done.Add(1)
				go (&silentClient{fixture: f, path: row.path, id: fmt.Sprint("silent-", n), done: &done}).run(ctx)
			}
			var held, reserved int64
			for range heldSamples {
				time.Sleep(heldInterval)
				held, reserved = max(held, heapBytes()-before), max(reserved, f.forwarder.ResponseBytes())
			}
			t.Logf("%d KB held, %d KB reserved", held>>10, reserved>>10)
			is.True(len(f.received()) > 0)
			is.True(reserved <= heldLimit/2) // One replica.
			is.True(held <= settingsMemory)  // Of the clients and the replica as well.
			o := f.send(http.MethodGet, "/safe/ordinary", "")
			is.NoErr(o.err)
			is.Equal(o.body, "fine")
		})
	}
}

// TestEventsOfTheLargestSizeAreForwarded guards against a limit of memory that breaks off what
// users may send: an event of 1 MB, while the memory is not in use.
func TestEventsOfTheLargestSizeAreForwarded(t *testing.T) {
	is := is.New(t)
	event := "data: " + strings.Repeat("y", 1<<20-8) + "\n\n"
	f := newLargeFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for range 3 {
			_, _ = io.WriteString(w, event)
		}
	})
	f.responseBytes = 64 << 20 / 8 // Of a daemon whose settings name 64 MB.
	f.restartLarge()
	o := f.send(http.MethodPost, "/stream/x", "one")
	is.NoErr(o.err)
	is.True(o.body == strings.Repeat(event, 3))
	is.Equal(f.forwarder.ResponseBytes(), int64(0))
}

// TestAnOutputBeyondTheMemoryIsNotComplete guards against a turn whose output can't be held and
// whose stream ends as if it were complete, and against memory that is not given back.
func TestAnOutputBeyondTheMemoryIsNotComplete(t *testing.T) {
	is := is.New(t)
	event := "data: " + strings.Repeat("y", 10<<10) + "\n\n"
	f := newLargeFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for range 200 {
			_, _ = io.WriteString(w, event)
		}
	})
	f.responseBytes = heldLimit
	f.restartLarge()
	o := f.send(http.MethodPost, "/turn/x", "one")
	is.True(o.err != nil)
	is.True(len(o.body) > heldLimit/16)
	is.Equal(f.send(http.MethodPost, "/turn/x", "two", "Parent", "id-1").status, http.StatusNotFound)
	is.Equal(f.send(http.MethodPost, "/stream/x", "three").err, nil) // Its output is not kept.
	is.Equal(f.forwarder.ResponseBytes(), int64(0))
}

// TestATurnWhoseOutputCantBeHeldDoesNotRun guards against running a turn whose stream would break
// off, since other responses of its replica use the memory. Ordinary requests are served.
func TestATurnWhoseOutputCantBeHeldDoesNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, sendRaw("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\n\r\ndata: "+strings.Repeat("x", 30<<10), "")).applyRoutes()
	f.responseBytes = 1 << 20
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.startForwarder(lifetime)
	f.replicas[0].Slots = 10 * heldClients
	f.tracker.Replace(f.replicas, time.Now())
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for n := range heldClients {
		done.Add(1)
		go (&silentClient{fixture: f, path: "/stream/x", id: fmt.Sprint("silent-", n), done: &done}).run(ctx)
	}
	for len(f.received()) < heldClients || f.forwarder.ResponseBytes() < f.responseBytes*3/8 {
		time.Sleep(10 * time.Millisecond)
	}
	o := f.send(http.MethodPost, "/turn/ordinary", "one")
	is.Equal(o.status, http.StatusServiceUnavailable)
	is.True(o.header.Get("Retry-After") != "")
	is.True(strings.Contains(o.body, "memory"))
	is.Equal(len(f.received()), heldClients)
	is.Equal(f.send(http.MethodGet, "/safe/ordinary", "").body, "fine")
	stop()
	done.Wait()
	for f.forwarder.ResponseBytes() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(f.send(http.MethodPost, "/turn/ordinary", "two").status, http.StatusOK)
}

// TestALongOutputIsKeptWhole guards against an output that lacks bytes, or has them in another
// order, because it was held in parts.
func TestALongOutputIsKeptWhole(t *testing.T) {
	is := is.New(t)
	var events, output strings.Builder
	for n := range 500 {
		first, second := strings.Repeat(fmt.Sprint(n), n), fmt.Sprint(" line ", n)
		fmt.Fprintf(&events, "id: %d\r\ndata: %s\r\n: a comment\ndata:  %s\ndata\n\n", n, first, second)
		fmt.Fprintf(&output, "%s\n %s\n\n", first, second)
	}
	f := newLargeFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, events.String())
	})
	f.responseBytes = heldLimit
	f.restartLarge()
	o := f.sendAs(context.Background(), "one", http.MethodPost, "/turn/x", "first;")
	is.NoErr(o.err)
	is.True(o.body == events.String())
	is.NoErr(f.sendAs(context.Background(), "two", http.MethodPost, "/turn/x", "second", "Parent", "one").err)
	is.True(f.received()[1].body == "first;"+output.String()+"second")
}
