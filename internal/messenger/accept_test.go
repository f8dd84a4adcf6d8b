package messenger_test

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/messenger"
)

// faultyListener fails the next accept calls with the given errors.
type faultyListener struct {
	net.Listener
	mu     sync.Mutex
	errors []syscall.Errno
}

func (f *faultyListener) Accept() (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.errors) > 0 {
		code := f.errors[0]
		f.errors = f.errors[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", code)}
	}
	return f.Listener.Accept()
}

// TestPeersAreServedAfterAcceptErrors guards against a server that stops to accept peers after
// an error of accept that concerns one connection or passes.
func TestPeersAreServedAfterAcceptErrors(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := messenger.NewServer("secret")
	s.RegisterStream("echo", echo{})
	s.Start(ctx, &faultyListener{Listener: l, errors: []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ECONNABORTED,
	}})
	c, err := messenger.NewPool(messenger.DialTCP, "secret").OpenStream(ctx, l.Addr().String(), "echo")
	is.NoErr(err)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = c.Write([]byte("hello"))
	is.NoErr(err)
	got := make([]byte, 5)
	_, err = io.ReadFull(c, got)
	is.NoErr(err)
	_ = c.Close()
	cancel()
	is.Equal(s.Wait(), context.Canceled) // The end of the listener ends the loop.
}
