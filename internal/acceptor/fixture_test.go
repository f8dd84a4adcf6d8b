package acceptor_test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// record is an Observer that keeps the reports.
type record struct {
	mu    sync.Mutex
	lines []string
}

func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(format, a...))
}

func (r *record) Waiting(purpose, address string, waited time.Duration, _ error) {
	r.add("waiting %s %s %v", purpose, address, waited)
}

func (r *record) Opened(purpose, address string, waited time.Duration) {
	r.add("opened %s %s %v", purpose, address, waited)
}

func (r *record) AcceptFailed(purpose, _ string, failures int, _ error) {
	r.add("failed %s %d", purpose, failures)
}

func (r *record) Recovered(purpose, _ string, failures int) {
	r.add("recovered %s %d", purpose, failures)
}

// faulty is a listener whose Accept returns the given errors, then one connection, and then
// blocks until it is closed.
type faulty struct {
	mu     sync.Mutex
	errors []error
	conn   net.Conn
	done   chan struct{}
}

func (f *faulty) Accept() (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.errors) > 0 {
		err := f.errors[0]
		f.errors = f.errors[1:]
		return nil, err
	}
	if c := f.conn; c != nil {
		f.conn = nil
		return c, nil
	}
	<-f.done
	return nil, syscall.EINVAL // What a socket returns that was shut down.
}

func (f *faulty) Close() error {
	close(f.done)
	return nil
}

func (f *faulty) Addr() net.Addr { return &net.TCPAddr{} }

// opError returns an error as package net returns it.
func opError(call string, code syscall.Errno) error {
	return &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError(call, code)}
}
