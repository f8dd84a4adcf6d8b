package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// holdUntil is a behaviour that announces a request and then waits until its caller leaves or
// the channel is closed.
func holdUntil(arrived chan<- time.Time, release <-chan struct{}) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		arrived <- time.Now()
		select {
		case <-release:
			serveOK(w, r)
		case <-r.Context().Done():
		}
	}
}

// stopAfter begins a planned stop at a fixture's forwarder, with times from now.
func (f *fixture) stopAfter(acceptTime, grace time.Duration) (endsAt time.Time) {
	now := time.Now()
	f.forwarder.Shutdown(now.Add(acceptTime), now.Add(grace))
	return now.Add(grace)
}

// pendingRequest is a request whose response a test receives later.
type pendingRequest struct {
	fixture  *fixture
	path     string
	header   []string
	response chan response
	endedAt  time.Time
}

func (f *fixture) begin(path string, header ...string) *pendingRequest {
	f.lastID++
	p := &pendingRequest{fixture: f, path: path, header: header, response: make(chan response, 1)}
	go p.run(fmt.Sprint("id-", f.lastID))
	return p
}

func (p *pendingRequest) run(id string) {
	r := p.fixture.sendAs(context.Background(), id, http.MethodPost, p.path, "a body", p.header...)
	p.endedAt = time.Now()
	p.response <- r
}

// awaitUntil returns the response, or an error if there is none by the time.
func (p *pendingRequest) awaitUntil(at time.Time) response {
	select {
	case r := <-p.response:
		return r
	case <-time.After(time.Until(at)):
		return response{err: context.DeadlineExceeded}
	}
}

// TestRequestsAreAnsweredBeforeAStoppedDaemonEnds guards against a request that is still at its
// replica at the end of the grace time, and whose connection closes without a response.
func TestRequestsAreAnsweredBeforeAStoppedDaemonEnds(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			arrived := make(chan time.Time, 4)
			f := newFixture(t, holdUntil(arrived, nil)).applyRoutes()
			p := f.begin(path)
			<-arrived
			endsAt := f.stopAfter(200*time.Millisecond, time.Second)
			r := p.awaitUntil(endsAt)
			is.NoErr(r.err)
			is.Equal(r.status, http.StatusGatewayTimeout) // It may have run.
			is.True(strings.Contains(r.body, "unknown"))
			is.True(endsAt.Sub(p.endedAt) < 300*time.Millisecond) // The replica had the rest of the time.
			is.Equal(len(f.received()), 1)
		})
	}
}

// TestAWaitingRequestIsRefusedWhenADaemonStops guards against a request that waits for a place
// until late in the grace time, is sent to its replica then, and is cut off.
func TestAWaitingRequestIsRefusedWhenADaemonStops(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, limited(serveOK)).applyRoutes()
	is.Equal(f.send("POST", "/unsafe/x", "a body").status, http.StatusOK)
	p := f.begin("/unsafe/x") // Its place is free in about a second.
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	r := p.awaitUntil(f.stopAfter(200*time.Millisecond, 3*time.Second))
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(r.body, "3003"))
	is.True(r.header.Get("Retry-After") != "")
	is.True(p.endedAt.Sub(began) < 600*time.Millisecond) // As soon as it is known.
	is.Equal(len(f.received()), 1)
}

// TestAWaitingRequestThatEndsInTimeIsServed guards against a stopping daemon that refuses what
// it can finish.
func TestAWaitingRequestThatEndsInTimeIsServed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, limited(serveOK)).applyRoutes()
	is.Equal(f.send("POST", "/unsafe/x", "a body").status, http.StatusOK)
	began := time.Now()
	p := f.begin("/unsafe/x", "Patience", "8s")
	time.Sleep(50 * time.Millisecond)
	is.Equal(p.awaitUntil(f.stopAfter(20*time.Millisecond, 9*time.Second)).status, http.StatusOK)
	is.True(p.endedAt.Sub(began) > 300*time.Millisecond) // It has waited for its place.
}

// TestLateAttemptsOfAStoppingDaemon guards against a request that one replica refused late in
// the grace time, and that goes to the next one then. One that may have run, and may be
// repeated, is repeated.
func TestLateAttemptsOfAStoppingDaemon(t *testing.T) {
	rows := []struct {
		name, path string
		end        behaviour
		status     int
		received   int
	}{
		{"refused, not run", "/unsafe/x", notRun, http.StatusServiceUnavailable, 1},
		{"broken off, repeatable", "/safe/x", dropConnection, http.StatusOK, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			arrived, release := make(chan time.Time, 1), make(chan struct{})
			late := func(w http.ResponseWriter, r *http.Request) {
				select {
				case arrived <- time.Now():
					<-release
					row.end(w, r)
				default:
					serveOK(w, r)
				}
			}
			f := newFixture(t, late, late).applyRoutes()
			p := f.begin(row.path)
			<-arrived
			endsAt := f.stopAfter(100*time.Millisecond, 3*time.Second)
			time.Sleep(200 * time.Millisecond)
			close(release)
			arrived <- time.Now() // Any further request is served.
			is.Equal(p.awaitUntil(endsAt).status, row.status)
			is.Equal(len(f.received()), row.received)
		})
	}
}

// TestAStreamThatHasBegunHasAllOfTheGraceTime guards against a stream that is cut off in the
// margin in which requests without a response are answered.
func TestAStreamThatHasBegunHasAllOfTheGraceTime(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan time.Time, 1), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 0\ndata: one\n\n")
		_ = http.NewResponseController(w).Flush()
		arrived <- time.Now()
		<-release
		_, _ = io.WriteString(w, "id: 1\ndata: two\n\n")
	}).applyRoutes()
	p := f.begin("/stream/x")
	<-arrived
	time.Sleep(50 * time.Millisecond)
	endsAt := f.stopAfter(100*time.Millisecond, time.Second)
	time.Sleep(900 * time.Millisecond) // Within the margin.
	close(release)
	r := p.awaitUntil(endsAt.Add(time.Second))
	is.NoErr(r.err)
	is.True(strings.HasSuffix(r.body, "two\n\n"))
}
