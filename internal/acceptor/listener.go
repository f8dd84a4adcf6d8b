package acceptor

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the time between two accept calls of which
	// the first failed.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 200 * time.Millisecond
)

// Listener is a net.Listener whose Accept fails only once the listener is closed.
type Listener struct {
	net.Listener
	purpose  string
	observer Observer
	// failures counts the errors of all listeners of an Acceptor.
	failures *atomic.Int64
	once     sync.Once
	done     chan struct{}
	// reports bounds the reports on errors. It belongs to the goroutine that accepts.
	reports pacer
}

// Wrap returns a Listener that accepts connections of l, or l itself if it is a Listener.
func Wrap(l net.Listener, purpose string, o Observer) *Listener {
	if w, ok := l.(*Listener); ok {
		return w
	}
	return &Listener{Listener: l, purpose: purpose, observer: o, failures: &atomic.Int64{}, done: make(chan struct{})}
}

// Accept implements net.Listener. It retries after errors, which accept(2) returns also for
// single connections, and is not to be called concurrently.
func (l *Listener) Accept() (net.Conn, error) {
	reported, backoff := false, minAcceptBackoff
	for count := 1; ; count++ {
		c, err := l.Listener.Accept()
		if err == nil {
			if reported {
				l.observer.Recovered(l.purpose, l.address(), count-1)
			}
			return c, nil
		}
		if l.closed() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		l.failures.Add(1)
		if l.reports.due(time.Now()) {
			reported = true
			l.observer.AcceptFailed(l.purpose, l.address(), count, err)
		}
		select {
		case <-time.After(backoff):
		case <-l.done:
		}
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

func (l *Listener) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *Listener) address() string {
	if a := l.Addr(); a != nil {
		return a.String()
	}
	return ""
}
