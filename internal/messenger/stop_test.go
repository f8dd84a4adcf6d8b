package messenger_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/messenger"
)

// lateListener accepts one connection at the moment at which it is closed.
type lateListener struct {
	conn   net.Conn
	once   sync.Once
	closed chan struct{}
	taken  bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if l.taken {
		return nil, net.ErrClosed
	}
	l.taken = true
	time.Sleep(time.Millisecond) // The server closes its connections meanwhile.
	return l.conn, nil
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// Number is an RPC service.
type Number struct{}

// Next returns the number after another one.
func (Number) Next(n int, next *int) error {
	*next = n + 1
	return nil
}

// TestAPeerThatConnectsAtTheStopDoesNotKeepTheServer guards against a daemon that does not end
// after SIGTERM, because a peer connected at the moment of the stop and keeps the connection.
func TestAPeerThatConnectsAtTheStopDoesNotKeepTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		defer far.Close()
		l := &lateListener{conn: near, closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		s := messenger.NewServer("a-secret-for-tests")
		is.NoErr(s.Register("Number", Number{}))
		s.Start(ctx, l)
		p := messenger.NewPool(func(context.Context, string) (net.Conn, error) { return far, nil }, "a-secret-for-tests")
		defer p.Close()
		go func() {
			time.Sleep(time.Millisecond)
			_ = p.Call(context.Background(), "a", "Number.Next", 1, new(int))
		}()
		time.Sleep(100 * time.Millisecond)
		cancel()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = s.Wait()
		}()
		select {
		case <-ended:
		case <-time.After(time.Minute):
			t.Errorf("the server has not ended a minute after its context")
			is.NoErr(far.Close())
			<-ended
		}
	})
}
