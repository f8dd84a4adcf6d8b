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

// script is a replica that answers the requests of each connection with fixed bytes.
type script struct {
	listener net.Listener
	// answers are sent one a request; "close" closes, "reset" resets, "hang" waits.
	answers     []string
	requests    atomic.Int64
	connections atomic.Int64
	bodies      chan string
}

func newScript(t *testing.T, answers ...string) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{listener: l, answers: answers, bodies: make(chan string, 64)}
	t.Cleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *script) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.loop(c)
	}
}

func (s *script) loop(c net.Conn) {
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
		switch a := s.answers[min(n, len(s.answers))-1]; a {
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

func (s *script) call(id string) *connector.Call {
	a := s.listener.Addr().String()
	return &connector.Call{
		Instance: a, Address: a, Method: http.MethodPost, Target: "/a%2Fb/?q=%20", Host: "x.example",
		Body: [][]byte{[]byte("one"), []byte("two")}, Deadline: time.Now().Add(3 * time.Second),
		Mine: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

const (
	whole   = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	foreign = "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 5\r\n\r\nother"
)

func TestAnswers(t *testing.T) {
	rows := []struct {
		name, answer string
		body         string
		// sent is what the error says; failed says that there is one, also in the body.
		failed, sent bool
	}{
		{"whole", whole, "ok", false, false},
		{"chunked", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", false, false},
		{"informational first", "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, "ok", false, false},
		{"an earlier request's answer first", foreign + whole, "ok", false, false},
		{"only another's answer", foreign + "close", "", true, true},
		{"without length, whole", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nokclose", "ok", false, false},
		{"cut in the body", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nokclose", "", true, true},
		{"cut in a chunk", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nokclose", "", true, true},
		{"no HTTP", "garbage\r\n\r\nclose", "", true, true},
		{"closed", "close", "", true, true},
		{"reset", "reset", "", true, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newScript(t, row.answer)
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
			is.Equal(s.requests.Load(), int64(1)) // Never repeated.
			is.Equal(<-s.bodies, "onetwo")
		})
	}
}

func TestConnectionsAreKeptOnlyWhenClean(t *testing.T) {
	rows := []struct {
		name, first string
		connections int64
	}{
		{"clean", whole, 1},
		{"closing", "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"bytes left over", whole + "x", 2},
		{"an extra answer", whole + foreign, 2},
		{"short keep-alive", "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newScript(t, row.first, whole)
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
	s := newScript(t, whole)
	q := s.call("a")
	_ = s.listener.Close()
	_, err := connector.New().Do(context.Background(), q)
	var f *connector.Error
	is.True(errors.As(err, &f))
	is.True(!f.Sent)
}

func TestTheLimitOfConnections(t *testing.T) {
	is := is.New(t)
	s := newScript(t, whole)
	c := connector.New()
	q := s.call("a")
	q.Limit = 1
	e, err := c.Do(context.Background(), q)
	is.NoErr(err)
	_, err = c.Do(context.Background(), q)
	is.True(errors.Is(err, connector.ErrFull))
	_, err = io.ReadAll(e)
	is.NoErr(err)
	e.Close()
	e, err = c.Do(context.Background(), q)
	is.NoErr(err)
	e.Close()
}

func TestTheContextBreaksOff(t *testing.T) {
	is := is.New(t)
	s := newScript(t, "hang")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.bodies
		cancel()
	}()
	_, err := connector.New().Do(ctx, s.call("a"))
	var f *connector.Error
	is.True(errors.As(err, &f))
	is.True(f.Sent) // It may have run.
}

// TestAnEarlyAnswerDoesNotSpoilTheConnection answers before a long body is read:
// the rest of the body must not be followed by another request.
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

// earlyReplica answers each request by its head alone and reads no body.
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
			_, _ = io.WriteString(c, whole)
		}
	}
}
