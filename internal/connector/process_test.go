package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/connector"
)

// testProcess implements connector.Process. It owns the connections that were opened until
// then, and knows the report of its process.
type testProcess struct {
	until  time.Time
	target string
	report string
	// awaited is the result of Await, and awaits counts its calls.
	awaited bool
	awaits  int
}

func (p *testProcess) Owns(opened time.Time) bool { return !opened.After(p.until) }

func (p *testProcess) ReportTarget() string { return p.target }

func (p *testProcess) IsReport(r *http.Response) bool { return r.Header.Get("Id") != "z" }

func (p *testProcess) Identify(report []byte, _ time.Time) connector.Identity {
	switch string(report) {
	case "":
		return connector.UnknownProcess
	case p.report:
		return connector.SameProcess
	}
	return connector.OtherProcess
}

func (p *testProcess) Await(context.Context, time.Time) bool {
	p.awaits++
	return p.awaited
}

// ends counts the ends of processes that a connector reports.
type ends struct {
	mu   sync.Mutex
	list []string
}

func (e *ends) add(instance string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, instance)
}

func (e *ends) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.list)
}

func response(body string) string {
	return "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=9\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// A replica without reports ran the request for one like a turn. Nothing was resumed there, since
// the daemon waited for the end of that stream.
func TestAReplicaMayHaveNoReports(t *testing.T) {
	is := is.New(t)
	var requests []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.URL.Path)
		if r.URL.Path == "/turn" {
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer s.Close()
	p := &testProcess{target: "/report", awaited: true}
	began := time.Now()
	e, err := connector.New().Do(context.Background(), &connector.Call{
		Instance: "a", Address: s.Listener.Addr().String(), Method: http.MethodGet, Target: "/turn", Host: "h", Deadline: began.Add(10 * time.Second), Process: p,
	})
	is.NoErr(err)
	e.Close()
	is.Equal(requests, []string{"/report", "/turn"})
	is.Equal(p.awaits, 1)
	is.True(time.Since(began) < time.Second)
}

// A request that only one process may run reached the next process at the same address, on a
// connection that was opened after it was back.
func TestACallReachesOnlyItsProcess(t *testing.T) {
	rows := []struct {
		name     string
		process  *testProcess
		report   string
		requests int64
		want     error
		awaits   int
	}{
		{"opened before", &testProcess{until: time.Now().Add(time.Hour), target: "/r"}, "", 1, nil, 0},
		{"names itself", &testProcess{target: "/r", report: "7"}, response("7"), 2, nil, 0},
		{"names another start", &testProcess{target: "/r", report: "7"}, response("8"), 1, connector.ErrOtherProcess, 0},
		{"names itself after an extra response", &testProcess{target: "/r", report: "7"}, foreignResponse + response("7"), 2, nil, 0},
		{"sends only an extra response", &testProcess{target: "/r", report: "7"}, foreignResponse + "close", 1, io.ErrUnexpectedEOF, 0},
		{"names none, and the registry shows it", &testProcess{target: "/r", awaited: true}, response(""), 2, nil, 1},
		{"names none, and the registry does not show it", &testProcess{target: "/r"}, response(""), 1, connector.ErrUnidentified, 1},
		{"has no report", &testProcess{target: "/r", awaited: true}, "HTTP/1.1 404 Not Found\r\nContent-Length: 1\r\n\r\n7", 2, nil, 1},
		{"closes after its report", &testProcess{target: "/r", report: "7"}, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n7close", 1, connector.ErrUnidentified, 0},
		{"breaks off", &testProcess{target: "/r", report: "7"}, "close", 1, io.ErrUnexpectedEOF, 0},
		{"is not asked", &testProcess{}, "", 0, connector.ErrUnidentified, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			responses := []string{row.report, okResponse}
			if row.report == "" {
				responses = responses[1:]
			}
			s := newScriptedReplica(t, responses...)
			c := connector.New()
			defer c.Close()
			q := s.call("a")
			q.Process = row.process
			e, err := c.Do(context.Background(), q)
			if err == nil {
				e.Close()
			}
			is.True(errors.Is(err, row.want))
			var failure *connector.Error
			is.True(err == nil || errors.As(err, &failure) && !failure.Sent) // The request did not run.
			is.Equal(s.requests.Load(), row.requests)
			is.Equal(row.process.awaits, row.awaits)
		})
	}
}

// A connection that was open before the end of a process was left idle, and the replica was
// asked for its report on a later one.
func TestAConnectionOfItsProcessIsPreferred(t *testing.T) {
	is := is.New(t)
	s := newScriptedReplica(t, okResponse)
	c := connector.New()
	defer c.Close()
	old, err := c.Do(context.Background(), s.call("a"))
	is.NoErr(err)
	opened := old.OpenedAt()
	later, err := c.Do(context.Background(), s.call("a"))
	is.NoErr(err)
	for _, e := range []*connector.Exchange{old, later} {
		_, err = io.Copy(io.Discard, e)
		is.NoErr(err)
		e.Close()
	}
	q := s.call("a")
	q.Process = &testProcess{until: opened, target: "/r"}
	e, err := c.Do(context.Background(), q)
	is.NoErr(err)
	is.Equal(e.OpenedAt(), opened)
	e.Close()
	is.Equal(c.Counts().Identified, int64(0))
}

// The end of a process was not noticed, or a replica that is silent, a request that was
// canceled, a planned close or a lost tunnel counted as one.
func TestEndsOfProcesses(t *testing.T) {
	rows := []struct {
		name, response string
		// detoured is set if the connection leads through a peer.
		detoured bool
		ended    bool
	}{
		{"closes without a response", "close", false, true},
		{"resets", "reset", false, true},
		{"breaks off a body", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\npartclose", false, true},
		{"closes after a response", okResponse + "close", false, false},
		{"closes as announced", "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\nokclose", false, false},
		{"is silent", "hang", false, false},
		{"breaks off a tunnel", "close", true, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedReplica(t, row.response)
			c := connector.New()
			defer c.Close()
			var seen ends
			c.ObserveEnds(seen.add)
			q := s.call("a")
			q.Deadline = time.Now().Add(300 * time.Millisecond)
			if row.detoured {
				q.Address = hangingAddress(t)
				q.Detour = func(ctx context.Context) (net.Conn, error) {
					var d net.Dialer
					return d.DialContext(ctx, "tcp", s.listener.Addr().String())
				}
			}
			if e, err := c.Do(context.Background(), q); err == nil {
				_, _ = io.Copy(io.Discard, e)
				e.Close()
			}
			is.Equal(seen.count() > 0, row.ended)
		})
	}
}

// A daemon that had only idle connections to a replica, or none, did not notice its end.
func TestEndsAreSeenWithoutARequest(t *testing.T) {
	is := is.New(t)
	s := newScriptedReplica(t, response("ok")+"close")
	c := connector.New()
	defer c.Close()
	var seen ends
	c.ObserveEnds(seen.add)
	for range 2 {
		e, err := c.Do(context.Background(), s.call("a"))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, e)
		is.NoErr(err)
		e.Close()
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(seen.count(), 1) // The idle connection was closed long before its named timeout.
	_, err := c.Do(context.Background(), &connector.Call{Instance: "gone", Address: closedAddress(t), Method: http.MethodGet, Target: "/", Host: "h", Deadline: time.Now().Add(time.Second)})
	is.True(err != nil)
	is.Equal(seen.list[len(seen.list)-1], "gone")
}

// A daemon whose link to a replica is cut, and which probes it again and again, reported the end
// of the replica's process with each probe, so that no row of the replica could confirm it.
func TestACutLinkIsNotReportedAgain(t *testing.T) {
	is := is.New(t)
	r := newScriptedReplica(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nokclose")
	p := &peer{address: r.listener.Addr().String()}
	c := connector.New()
	defer c.Close()
	var seen ends
	c.ObserveEnds(seen.add)
	address := closedAddress(t)
	dialed := c.Counts().Dialed
	for until := time.Now().Add(4 * connector.ProbePeriod); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		_, err := exchange(c, "a", address, p, time.Second)
		is.NoErr(err)
	}
	is.True(c.Counts().Dialed-dialed >= 3) // The link was probed.
	is.Equal(seen.count(), 1)              // A peer had not reached the replica before the first.
}
