package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/server"
)

// readGate holds back what connections have read while it is shut.
type readGate struct {
	shut atomic.Bool
	held chan struct{}
	open chan struct{}
}

// gatedListener accepts connections whose reads can be held back.
type gatedListener struct {
	net.Listener
	gate *readGate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{c, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *readGate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.gate.shut.Load() {
		c.gate.held <- struct{}{}
		<-c.gate.open
	}
	return n, err
}

// acceptingServer is a server that runs until its listener is closed.
type acceptingServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *acceptingServer) run() { _ = s.server.Serve(s.listener) }

// TestARequestThatCrossesTheClose guards against a request that is read in the instant in which
// a planned stop closes the idle connections: it ran, and its response was lost. Its bytes are
// held back before or after the connection counts them.
func TestARequestThatCrossesTheClose(t *testing.T) {
	for name, counted := range map[string]bool{"read and counted": true, "read": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) })}
			conns, gate := server.NewClientConns(s), &readGate{held: make(chan struct{}, 1), open: make(chan struct{})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			a := &acceptingServer{server: s, listener: conns.Wrap(&gatedListener{l, gate})}
			idle := make(chan struct{}, 4)
			observe := s.ConnState
			if counted {
				a.listener = &gatedListener{conns.Wrap(l), gate}
			}
			s.ConnState = func(n net.Conn, state http.ConnState) {
				if g, ok := n.(*gatedConn); ok {
					n = g.Conn
				}
				if observe(n, state); state == http.StateIdle {
					idle <- struct{}{}
				}
			}
			go a.run()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer c.Close()
			reader := bufio.NewReader(c)
			send := func() {
				_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
			}
			send()
			_, err = http.ReadResponse(reader, nil)
			is.NoErr(err)
			<-idle
			gate.shut.Store(true)
			send()
			<-gate.held
			conns.Drain(s)
			close(gate.open)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			r, err := http.ReadResponse(reader, nil)
			is.Equal(err == nil, counted)
			if counted {
				is.Equal(r.StatusCode, http.StatusOK)
				is.True(r.Close)
			}
			is.NoErr(conns.Await(ctx))
			is.NoErr(s.Shutdown(ctx))
			if counted {
				is.Equal(runs.Load(), int32(2))
			} else {
				is.Equal(runs.Load(), int32(1))
			}
		})
	}
}
