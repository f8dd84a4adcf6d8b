package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/server"
)

// pipeListener accepts connections without sockets.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestAFirstRequestThatArrivesSlowly guards against a connection that a planned stop closes without
// a response after a part of its first request was read: http.Server counts one as idle whose first
// head is not complete for more than five seconds.
func TestAFirstRequestThatArrivesSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		conns := server.NewClientConns(s)
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		a := &acceptingServer{server: s, listener: conns.Wrap(l)}
		go a.run()
		c, accepted := net.Pipe()
		defer c.Close()
		l.conns <- accepted
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
		is.NoErr(err)
		time.Sleep(7 * time.Second)
		conns.Drain(s)
		_, err = io.WriteString(c, "Host: h\r\n\r\n")
		is.NoErr(err)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(r.StatusCode, http.StatusOK)
		is.True(r.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		is.NoErr(conns.Await(ctx))
		is.NoErr(s.Shutdown(ctx))
	})
}
