package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/connector"
)

// scriptedReplica is a replica that sends a fixed response to each request.
type scriptedReplica struct {
	listener net.Listener
	// responses are sent in order, one per request, and the last one is repeated. Instead
	// of a response, "close" closes the connection, "reset" resets it, and "hang" sends
	// nothing until the client does. A response that ends in "close" is sent before the
	// connection is closed.
	responses   []string
	requests    atomic.Int64
	connections atomic.Int64
	bodies      chan string
}

func newScriptedReplica(t *testing.T, responses ...string) *scriptedReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedReplica{listener: l, responses: responses, bodies: make(chan string, 256)}
	t.Cleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *scriptedReplica) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.loop(c)
	}
}

func (s *scriptedReplica) loop(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body)
		n := int(s.requests.Add(1))
		s.bodies <- string(body)
		switch a := s.responses[min(n, len(s.responses))-1]; a {
		case "close":
			return
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case "hang":
			_, _ = r.ReadByte()
			return
		default:
			_, _ = io.WriteString(c, strings.TrimSuffix(a, "close"))
			if strings.HasSuffix(a, "close") {
				return
			}
		}
	}
}

func (s *scriptedReplica) call(id string) *connector.Call {
	a := s.listener.Addr().String()
	return &connector.Call{
		Instance: a, Address: a, Method: http.MethodPost, Target: "/a%2Fb/?q=%20", Host: "x.example",
		Body: [][]byte{[]byte("one"), []byte("two")}, Deadline: time.Now().Add(3 * time.Second),
		Matches: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

const (
	okResponse      = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	foreignResponse = "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 5\r\n\r\nother"
)

func TestAnswers(t *testing.T) {
	rows := []struct {
		name, response string
		body           string
		// failed is set if Do or reading the body fails, and sent is the Error's Sent.
		failed, sent bool
	}{
		{"complete", okResponse, "ok", false, false},
		{"chunked", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", false, false},
		{"informational first", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, "ok", false, false},
		{"response to an earlier request first", foreignResponse + okResponse, "ok", false, false},
		{"only a response to another request", foreignResponse + "close", "", true, true},
		{"without length, complete", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nokclose", "ok", false, false},
		{"truncated in the body", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nokclose", "", true, true},
		{"truncated in a chunk", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nokclose", "", true, true},
		{"not HTTP", "garbage\r\n\r\nclose", "", true, true},
		{"closed", "close", "", true, true},
		{"reset", "reset", "", true, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedReplica(t, row.response)
			e, err := connector.New().Do(context.Background(), s.call("a"))
			var body []byte
			if err == nil {
				defer e.Close()
				body, err = io.ReadAll(e)
			} else {
				var f *connector.Error
				is.True(errors.As(err, &f))
				is.Equal(f.Sent, row.sent)
			}
			is.Equal(err != nil, row.failed)
			if err == nil {
				is.Equal(string(body), row.body)
			}
			is.Equal(s.requests.Load(), int64(1)) // The request is never retried.
			is.Equal(<-s.bodies, "onetwo")
		})
	}
}

func TestConnectionsAreKeptOnlyWhenClean(t *testing.T) {
	rows := []struct {
		name, first string
		connections int64
	}{
		{"clean", okResponse, 1},
		{"response closes the connection", "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"extra bytes after the response", okResponse + "x", 2},
		{"an extra response", okResponse + foreignResponse, 2},
		{"short keep-alive", "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedReplica(t, row.first, okResponse)
			c := connector.New()
			for range 2 {
				e, err := c.Do(context.Background(), s.call("a"))
				is.NoErr(err)
				body, err := io.ReadAll(e)
				is.NoErr(err)
				is.Equal(string(body), "ok")
				e.Close()
			}
			is.Equal(s.connections.Load(), row.connections)
		})
	}
}

func TestNothingIsSentWithoutAConnection(t *testing.T) {
	is := is.New(t)
	s := newScriptedReplica(t, okResponse)
	q := s.call("a")
	_ = s.listener.Close()
	_, err := connector.New().Do(context.Background(), q)
	var f *connector.Error
	is.True(errors.As(err, &f))
	is.True(!f.Sent)
}

func TestTheLimitOfConnections(t *testing.T) {
	is := is.New(t)
	s := newScriptedReplica(t, okResponse)
	c := connector.New()
	q := s.call("a")
	q.Limit = 1
	e, err := c.Do(context.Background(), q)
	is.NoErr(err)
	_, err = c.Do(context.Background(), q)
	is.True(errors.Is(err, connector.ErrConnectionLimit))
	_, err = io.ReadAll(e)
	is.NoErr(err)
	e.Close()
	e, err = c.Do(context.Background(), q)
	is.NoErr(err)
	e.Close()
}

func TestTheContextBreaksOff(t *testing.T) {
	is := is.New(t)
	s := newScriptedReplica(t, "hang")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.bodies
		cancel()
	}()
	_, err := connector.New().Do(ctx, s.call("a"))
	var f *connector.Error
	is.True(errors.As(err, &f))
	is.True(f.Sent) // The request may have run.
}

// TestAnEarlyAnswerDoesNotSpoilTheConnection guards against reusing a connection on which
// a replica has responded before it read the whole body: the next request would follow an
// incomplete body.
func TestAnEarlyAnswerDoesNotSpoilTheConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	early := &earlyReplica{listener: l}
	go early.run()
	a := l.Addr().String()
	c := connector.New()
	for range 2 {
		e, err := c.Do(context.Background(), &connector.Call{
			Instance: a, Address: a, Method: http.MethodPost, Target: "/", Host: "x", Deadline: time.Now().Add(5 * time.Second),
			Body: [][]byte{make([]byte, 8<<20)},
		})
		is.NoErr(err)
		_, err = io.ReadAll(e)
		is.NoErr(err)
		e.Close()
	}
	is.Equal(early.connections.Load(), int64(2))
}

// earlyReplica responds after it has read the head of a request and never reads the body.
type earlyReplica struct {
	listener    net.Listener
	connections atomic.Int64
}

func (s *earlyReplica) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, okResponse)
		}
	}
}
