package forwarder_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	crashingBody = "a body that crashes its replica"
	// maxCrashes is the number of replicas that one request may crash before it is refused.
	maxCrashes = 3
	// maxHeld is how often a suspect may be refused as not run before it is tried.
	maxHeld = 5
)

// crashingReplica is a replica whose process ends when it begins to run a crashing request,
// 20 ms after other requests have arrived. Another one starts at another address.
type crashingReplica struct {
	fixture *fixture
	id      int
	server  *httptest.Server
	once    sync.Once
}

// crashes counts the replicas that ended and the requests that came back whole.
type crashes struct {
	mu      sync.Mutex
	ended   int
	started int
	// replaced is the number of those whose successor is in the registry.
	replaced int
	// stays leaves the row of a replica that ended, and starts no other.
	stays bool
}

func (f *fixture) startCrashing(n int, c *crashes) {
	for range n {
		f.tracker.Update([]tracker.Row{f.newCrashing(c)}, time.Now())
	}
}

// newCrashing starts a replica and returns its row.
func (f *fixture) newCrashing(c *crashes) tracker.Row {
	r := &crashingReplica{fixture: f}
	c.mu.Lock()
	r.id = c.started
	c.started++
	c.mu.Unlock()
	r.server = httptest.NewServer(f.record(r.id, func(w http.ResponseWriter, q *http.Request) { r.respond(w, q, c) }))
	f.t.Cleanup(r.server.Close)
	return tracker.Row{ID: fmt.Sprint(r.id), Replica: &tracker.Replica{
		ID: fmt.Sprint(r.id), Service: "s", Address: strings.TrimPrefix(r.server.URL, "http://"), Slots: 4,
	}}
}

func (r *crashingReplica) respond(w http.ResponseWriter, q *http.Request, c *crashes) {
	time.Sleep(20 * time.Millisecond)
	if q.Header.Get("Body") != crashingBody {
		if q.Header.Get("Stream") != "" {
			streamEvents(true)(w, q)
			return
		}
		serveOK(w, q)
		return
	}
	r.once.Do(func() {
		_ = r.server.Listener.Close()
		r.server.CloseClientConnections()
		c.mu.Lock()
		c.ended++
		stays := c.stays
		c.mu.Unlock()
		if stays {
			return
		}
		// In one update: a forwarder that sees both rows takes the service for a larger one that
		// lacks a replica, and holds suspects back.
		r.fixture.tracker.Update([]tracker.Row{{ID: fmt.Sprint(r.id)}, r.fixture.newCrashing(c)}, time.Now())
		c.mu.Lock()
		c.replaced++
		c.mu.Unlock()
	})
}

// awaitReplaced waits until n replicas have ended and others have taken their places, and for as
// long as the client of a crashed request waits before it comes again.
func (f *fixture) awaitReplaced(n int, c *crashes) {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		replaced := c.replaced
		c.mu.Unlock()
		if replaced >= n {
			break
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%d of %d replicas ended and were replaced", replaced, n)
		}
	}
	time.Sleep(100 * time.Millisecond) // A crash counts once a dial to the replica was refused.
}

// sendBody sends a request whose body the replica also finds in a header, since the fixture
// reads the body first.
func (f *fixture) sendBody(id, path, body string) response {
	return f.sendAs(f.t.Context(), id, "POST", path, body, "Body", body)
}

// TestARequestThatCrashesReplicasIsRefused guards against a request that crashes replica after
// replica because each time it comes it is sent on. Each row is a kind of route; between the
// crashing requests come sound ones, which are served, also those that were at a replica when
// it crashed and come again.
func TestARequestThatCrashesReplicasIsRefused(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/turn/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t).applyRoutes()
			c := &crashes{}
			f.startCrashing(6, c)
			var group sync.WaitGroup
			var last response
			for round := range 12 {
				for n := range 8 {
					group.Add(1)
					go (&soundCall{fixture: f, group: &group, path: path, name: fmt.Sprintf("%d-%d", round, n)}).run()
				}
				time.Sleep(10 * time.Millisecond)
				last = f.sendBody(fmt.Sprint("crash-", round), path, crashingBody)
				time.Sleep(100 * time.Millisecond) // The client of a crashed request waits before it comes again.
			}
			// While it is held back it has not run, and its client comes back as it is told.
			for n := 0; n < maxHeld && last.status == http.StatusServiceUnavailable; n++ {
				after, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
				is.NoErr(err)
				time.Sleep(time.Duration(after * float64(time.Second)))
				last = f.sendBody(fmt.Sprint("held-", n), path, crashingBody)
			}
			group.Wait()
			time.Sleep(50 * time.Millisecond) // A replica counts its crash after its connections are closed.
			c.mu.Lock()
			is.True(c.ended <= maxCrashes)
			c.mu.Unlock()
			is.Equal(last.status, http.StatusBadGateway)
			is.Equal(last.header.Get("Retry-After"), "")
		})
	}
}

// soundCall is a request that crashes no replica, sent again until it is served.
type soundCall struct {
	fixture *fixture
	group   *sync.WaitGroup
	path    string
	name    string
}

func (s *soundCall) run() {
	defer s.group.Done()
	for attempt := range 6 {
		if r := s.fixture.sendBody(fmt.Sprint(s.name, "-", attempt), s.path, "a sound body "+s.name); r.status == http.StatusOK && r.err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.fixture.t.Errorf("the sound request %s was not served in six attempts", s.name)
}

// TestTurnsOfOtherParentsAreOtherRequests guards against a turn that is refused because an
// equal body that continues another turn crashes replicas: the replicas receive the history of
// the parent too.
func TestTurnsOfOtherParentsAreOtherRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).applyRoutes()
	c := &crashes{}
	f.startCrashing(6, c)
	is.Equal(f.sendAs(t.Context(), "first", "POST", "/turn/x", "the first turn", "Stream", "1").status, http.StatusOK)
	for n := range maxCrashes + 1 {
		f.sendBody(fmt.Sprint("crash-", n), "/turn/x", crashingBody)
		f.awaitReplaced(min(n+1, maxCrashes), c)
	}
	is.Equal(f.sendBody("refused", "/turn/x", crashingBody).status, http.StatusBadGateway)
	is.Equal(f.sendAs(t.Context(), "second", "POST", "/turn/x", crashingBody, "Body", "sound", "Parent", "first").status, http.StatusOK)
}

// TestARequestWithACondemnedBeginningIsTried guards against sound requests that are refused for
// good because several crashing requests begin in the same way: they are refused as not run,
// with a time to come back, until one was tried and served.
func TestARequestWithACondemnedBeginningIsTried(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).applyRoutes()
	c := &crashes{}
	f.startCrashing(6, c)
	begin := strings.Repeat("the same prompt ", 20)
	send := func(id, kind string) response {
		return f.sendAs(t.Context(), id, "POST", "/unsafe/x", begin+id, "Body", kind)
	}
	for n := range maxCrashes {
		is.Equal(send(fmt.Sprint(n, " crashing"), crashingBody).status, http.StatusBadGateway)
		f.awaitReplaced(n+1, c)
	}
	time.Sleep(2 * time.Second) // Other daemons have time to say that they served such requests.
	refused := send("a sound one", "sound")
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.True(refused.header.Get("Retry-After") != "")
	time.Sleep(4 * time.Second)
	is.Equal(send("a sound one", "sound").status, http.StatusOK)
	is.Equal(send("another sound one", "sound").status, http.StatusOK)
	is.Equal(c.ended, maxCrashes)
}
