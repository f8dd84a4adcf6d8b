package acceptor_test

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	pkgerrors "github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/acceptor"
)

// TestPassingErrors guards against a start that ends on a passing error, and one that waits
// for ever on a wrong setting.
func TestPassingErrors(t *testing.T) {
	for _, code := range []syscall.Errno{
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EAGAIN, syscall.EINTR,
	} {
		if !acceptor.IsPassing(pkgerrors.Wrap(opError("bind", code), "listen")) {
			t.Errorf("%v is final", code)
		}
	}
	_, malformed := net.Listen("tcp", "127.0.0.1")
	_, port := net.Listen("tcp", "127.0.0.1:70000")
	for _, err := range []error{
		nil, opError("bind", syscall.EACCES), opError("bind", syscall.EPERM), opError("socket", syscall.EAFNOSUPPORT), opError("bind", syscall.EINVAL),
		malformed, port, net.ErrClosed, context.Canceled, errors.New("other"),
	} {
		if acceptor.IsPassing(err) {
			t.Errorf("%v passes", err)
		}
	}
}

// TestOpenWaitsUntilTheAddressIsFree guards against a listener that is tried once, and
// against a report for each attempt.
func TestOpenWaitsUntilTheAddressIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, began := &record{}, time.Now()
		f := &faulty{done: make(chan struct{})}
		a := acceptor.New(context.Background(), func(context.Context, string) (net.Listener, error) {
			if time.Since(began) < 12*time.Second {
				return nil, opError("bind", syscall.EADDRINUSE)
			}
			return f, nil
		}, r)
		time.AfterFunc(11*time.Second, func() { is.Equal(a.Waiting(), 1) })
		l, err := a.Open(context.Background(), "clients", "a:1")
		is.NoErr(err)
		is.Equal(a.Waiting(), 0)
		is.Equal(r.lines, []string{"waiting clients a:1 0s", "waiting clients a:1 5s", "waiting clients a:1 10s", "opened clients a:1 12s"})
		is.NoErr(l.Close())
	})
}

// TestAWaitEndsAtOnce guards against a stop that waits for a port, and a final error that is
// waited for.
func TestAWaitEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		err := opError("bind", syscall.EADDRINUSE)
		a := acceptor.New(context.Background(), func(context.Context, string) (net.Listener, error) { return nil, err }, &record{})
		ctx, cancel := context.WithCancel(context.Background())
		began := time.Now()
		time.AfterFunc(time.Second+time.Millisecond, cancel)
		_, result := a.Open(ctx, "peers", "a:1")
		is.Equal(result, context.Canceled)
		time.AfterFunc(time.Second, a.Stop)
		_, result = a.Open(context.Background(), "peers", "a:1")
		is.Equal(result, context.Canceled)
		is.Equal(time.Since(began), 2*time.Second+time.Millisecond)
		_, result = a.Open(context.Background(), "peers", "a:1")
		is.Equal(result, context.Canceled)
		err = opError("bind", syscall.EACCES)
		_, result = acceptor.New(context.Background(), func(context.Context, string) (net.Listener, error) { return nil, err }, &record{}).Open(context.Background(), "peers", "a:1")
		is.Equal(result, err)
	})
}

// acceptErrors are the errors that accept(2) names for a listener or a single connection.
var acceptErrors = []syscall.Errno{
	syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN,
	syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ECONNABORTED,
}

// TestAcceptGoesOnAfterErrors guards against an accept loop that ends on an error other than
// the end of the listener, and against a report for each error.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conn, other := net.Pipe()
		f := &faulty{conn: conn, done: make(chan struct{})}
		for range 4 {
			for _, code := range acceptErrors {
				f.errors = append(f.errors, opError("accept4", code))
			}
		}
		count := len(f.errors)
		r := &record{}
		l := acceptor.Wrap(f, "clients", r)
		is.Equal(acceptor.Wrap(l, "", nil), l)
		began := time.Now()
		c, err := l.Accept()
		is.NoErr(err)
		is.Equal(c, conn)
		is.True(time.Since(began) < time.Duration(count)*200*time.Millisecond)
		is.True(len(r.lines) <= 4)
		is.True(strings.HasPrefix(r.lines[0], "failed clients 1"))
		is.True(slices.Contains(r.lines, "recovered clients 56"))
		_ = other.Close()
		time.AfterFunc(time.Second, func() { _ = l.Close() })
		_, err = l.Accept()
		is.Equal(err, net.ErrClosed)
	})
}
