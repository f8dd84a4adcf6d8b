package emulator

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const dialTimeout = time.Second

// Balancer distributes TCP connections round-robin over backends. It does not
// inspect the traffic.
type Balancer struct {
	listener net.Listener
	backends []string
	next     atomic.Uint64
	tomb     *tomb.Tomb
}

// NewBalancer starts a balancer that accepts connections from l until ctx is done.
func NewBalancer(ctx context.Context, l net.Listener, backends []string) *Balancer {
	b := &Balancer{listener: l, backends: backends}
	b.tomb, _ = tomb.WithContext(ctx)
	b.tomb.Go(b.run)
	b.tomb.Go(b.loop)
	return b
}

// Wait blocks until the balancer has stopped.
func (b *Balancer) Wait() error { return b.tomb.Wait() }

// loop waits until the balancer stops and then closes the listener, which ends run.
func (b *Balancer) loop() error {
	<-b.tomb.Dying()
	return b.listener.Close()
}

func (b *Balancer) run() error {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return nil
		}
		p := &proxiedConn{client: c, balancer: b}
		b.tomb.Go(p.run)
	}
}

// dialBackend tries each backend once, starting with the next one in rotation.
func (b *Balancer) dialBackend() (net.Conn, error) {
	lastErr := io.EOF
	start := b.next.Add(1)
	for i := range b.backends {
		address := b.backends[(start+uint64(i))%uint64(len(b.backends))]
		c, err := net.DialTimeout("tcp", address, dialTimeout)
		if err == nil {
			return c, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// proxiedConn forwards one client connection to a backend.
type proxiedConn struct {
	client   net.Conn
	backend  net.Conn
	balancer *Balancer
	once     sync.Once
}

func (p *proxiedConn) run() error {
	backend, err := p.balancer.dialBackend()
	if err != nil {
		_ = p.client.Close()
		return nil
	}
	p.backend = backend
	p.balancer.tomb.Go(p.loop)
	_, _ = io.Copy(p.backend, p.client)
	p.close()
	return nil
}

// loop copies data from the backend to the client; run copies the other direction.
func (p *proxiedConn) loop() error {
	_, _ = io.Copy(p.client, p.backend)
	p.close()
	return nil
}

func (p *proxiedConn) close() {
	p.once.Do(func() {
		_ = p.client.Close()
		_ = p.backend.Close()
	})
}
