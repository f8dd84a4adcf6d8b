package connector_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/connector"
)

// repeatingReplica writes its first response on a connection once more when another request
// arrives there, and then the response to that request.
type repeatingReplica struct {
	listener net.Listener
	// respond returns the nth response to the requests with an id.
	respond func(id string, n int) string
	// copies is the number of times that the first response is written again.
	copies      int
	connections atomic.Int64

	mu       sync.Mutex
	requests map[string]int
}

func newRepeatingReplica(t *testing.T, copies int, respond func(id string, n int) string) *repeatingReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &repeatingReplica{listener: l, respond: respond, copies: copies, requests: map[string]int{}}
	t.Cleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *repeatingReplica) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.loop(c)
	}
}

func (s *repeatingReplica) loop(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	first := ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Id")
		s.mu.Lock()
		s.requests[id]++
		next := s.respond(id, s.requests[id])
		s.mu.Unlock()
		for range s.copies {
			_, _ = io.WriteString(c, first)
		}
		_, _ = io.WriteString(c, next)
		if first == "" {
			first = next
		}
	}
}

// call returns a call with an id.
func (s *repeatingReplica) call(id string) *connector.Call {
	a := s.listener.Addr().String()
	return &connector.Call{
		Instance: a, Address: a, Method: http.MethodPost, Target: "/", Host: "h", ID: id, Header: http.Header{"Id": {id}}, Deadline: time.Now().Add(2 * time.Second),
		Matches: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

// send sends a call and returns the status and the body of its response.
func send(t *testing.T, c *connector.Connector, q *connector.Call) (int, string) {
	t.Helper()
	e, err := c.Do(context.Background(), q)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	body, err := io.ReadAll(e)
	if err != nil {
		t.Fatal(err)
	}
	return e.Response.StatusCode, string(body)
}

func withID(id, status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// TestAnEarlierResponseIsNotTakenForASecondSending guards against a replica's earlier response
// to an id that is taken for its response to the next request with that id: the request then
// counts as refused, or has another request's body, while the replica runs it.
func TestAnEarlierResponseIsNotTakenForASecondSending(t *testing.T) {
	rows := []struct {
		name, first string
		copies      int
		between     int
	}{
		{"refusal", withID("a", "503 Service Unavailable", ""), 1, 0},
		{"refusal with a body", withID("a", "503 Service Unavailable", "full"), 1, 0},
		{"refusal, three times", withID("a", "503 Service Unavailable", ""), 3, 0},
		{"other process", withID("a", "421 Misdirected Request", ""), 1, 0},
		{"success", withID("a", "200 OK", "old"), 1, 0},
		{"refusal, other requests between", withID("a", "503 Service Unavailable", ""), 1, 3},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newRepeatingReplica(t, row.copies, func(id string, n int) string {
				if id == "a" && n == 1 {
					return row.first
				}
				return withID(id, "200 OK", "new")
			})
			c := connector.New()
			defer c.Close()
			send(t, c, s.call("a"))
			for i := range row.between {
				status, body := send(t, c, s.call(fmt.Sprint(i)))
				is.Equal(status, http.StatusOK)
				is.Equal(body, "new")
			}
			status, body := send(t, c, s.call("a"))
			is.Equal(status, http.StatusOK)
			is.Equal(body, "new")
			is.Equal(s.connections.Load(), int64(2))
			send(t, c, s.call("b"))
			is.Equal(s.connections.Load(), int64(2)) // The other connection is still there.
		})
	}
}

// TestASecondSendingWithinTheLimit guards against a request that is not sent although a
// connection is idle, because it has to use another one and the limit is reached.
func TestASecondSendingWithinTheLimit(t *testing.T) {
	is := is.New(t)
	s := newRepeatingReplica(t, 1, func(id string, n int) string {
		if n == 1 {
			return withID(id, "503 Service Unavailable", "")
		}
		return withID(id, "200 OK", "new")
	})
	c := connector.New()
	defer c.Close()
	for range 2 {
		q := s.call("a")
		q.Limit = 1
		send(t, c, q)
	}
	is.Equal(s.connections.Load(), int64(2))
	is.Equal(s.requests["a"], 2)
}

// TestRefusalsKeepTheirConnection guards against new connections after refusals, which are
// frequent while a replica is full and cost more than a request on an open connection.
func TestRefusalsKeepTheirConnection(t *testing.T) {
	is := is.New(t)
	s := newRepeatingReplica(t, 0, func(id string, _ int) string { return withID(id, "503 Service Unavailable", "") })
	c := connector.New()
	defer c.Close()
	for i := range 500 {
		status, _ := send(t, c, s.call(fmt.Sprint(i)))
		is.Equal(status, http.StatusServiceUnavailable)
	}
	is.Equal(c.Counts().Dialed, int64(1))
	is.Equal(c.Counts().Reused, int64(499))
}

// TestAConnectionRemembersALimitedNumberOfIDs guards against memory that grows with each request
// on a connection, and against ids that are forgotten while the connection is in use.
func TestAConnectionRemembersALimitedNumberOfIDs(t *testing.T) {
	is := is.New(t)
	s := newRepeatingReplica(t, 0, func(id string, _ int) string { return withID(id, "200 OK", "") })
	c := connector.New()
	defer c.Close()
	n := 2 * connector.MaxRequests
	for i := range n {
		send(t, c, s.call(fmt.Sprint(i)))
	}
	is.Equal(s.connections.Load(), int64(2))
	send(t, c, s.call(fmt.Sprint(n-1))) // The last id was the last one of its connection.
	is.Equal(s.connections.Load(), int64(3))
}

// TestExtraResponsesBelongToNoOtherRequest guards against extra bytes on a connection in use again
// that are taken for the response to the next request, or for a part of it. Where they can't be
// told apart, the request may have run.
func TestExtraResponsesBelongToNoOtherRequest(t *testing.T) {
	refusal := withID("z", "503 Service Unavailable", "full")
	rows := []struct {
		name, method, extra string
		failed              bool
	}{
		{"a refusal", http.MethodPost, refusal, false},
		{"a refusal without an id", http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
		{"three refusals", http.MethodPost, refusal + refusal + refusal, false},
		{"refusals without end", http.MethodPost, strings.Repeat(refusal, 9), true},
		{"a refusal that closes the connection", http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\nId: z\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true},
		{"a refusal in chunks", http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\nId: z\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", false},
		{"a response without a body", http.MethodPost, "HTTP/1.1 204 No Content\r\nId: z\r\n\r\n", false},
		{"an unchanged response", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: z\r\nContent-Length: 9\r\n\r\n", false},
		{"an informational response with the id", http.MethodPost, "HTTP/1.1 103 Early Hints\r\nId: a\r\n\r\n", false},
		{"half a response", http.MethodPost, refusal[:len(refusal)-2], true},
		{"the end of a body", http.MethodPost, "ull", true},
		{"the response to a HEAD request", http.MethodGet, "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 9999\r\n\r\n", true},
		{"a body before the response to HEAD", http.MethodHead, refusal, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedReplica(t, withID("b", "200 OK", "old"), row.extra+withID("a", "200 OK", map[bool]string{false: "new"}[row.method == http.MethodHead]))
			c := connector.New()
			defer c.Close()
			send(t, c, s.call("b"))
			q := s.call("a")
			q.ID, q.Method, q.Deadline = "a", row.method, time.Now().Add(500*time.Millisecond)
			e, err := c.Do(context.Background(), q)
			var body []byte
			if err == nil {
				defer e.Close()
				is.Equal(e.Response.StatusCode, http.StatusOK)
				body, err = io.ReadAll(e)
			}
			is.Equal(err != nil, row.failed)
			var f *connector.Error
			switch {
			case errors.As(err, &f):
				is.True(f.Sent) // The request may have run.
			case err == nil:
				is.Equal(string(body), "new")
			}
			is.Equal(c.Counts().Dialed, int64(1))
		})
	}
}
