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

const connectTimeout = time.Second

// Balancer spreads TCP connections over back addresses without looking at them.
type Balancer struct {
	listener net.Listener
	backs    []string
	next     atomic.Uint64
	tomb     *tomb.Tomb
}

// NewBalancer starts a balancer on a listener until the context ends.
func NewBalancer(ctx context.Context, l net.Listener, backs []string) *Balancer {
	b := &Balancer{listener: l, backs: backs}
	b.tomb, _ = tomb.WithContext(ctx)
	b.tomb.Go(b.run)
	b.tomb.Go(b.loop)
	return b
}

// Wait returns when the balancer has stopped.
func (b *Balancer) Wait() error { return b.tomb.Wait() }

// loop closes the listener when the balancer stops.
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
		p := &pair{front: c, balancer: b}
		b.tomb.Go(p.run)
	}
}

// connect tries each back once, from the next in turn.
func (b *Balancer) connect() (net.Conn, error) {
	last := io.EOF
	start := b.next.Add(1)
	for i := range b.backs {
		back := b.backs[(start+uint64(i))%uint64(len(b.backs))]
		c, err := net.DialTimeout("tcp", back, connectTimeout)
		if err == nil {
			return c, nil
		}
		last = err
	}
	return nil, last
}

// pair is one balanced connection.
type pair struct {
	front    net.Conn
	back     net.Conn
	balancer *Balancer
	once     sync.Once
}

func (p *pair) run() error {
	back, err := p.balancer.connect()
	if err != nil {
		_ = p.front.Close()
		return nil
	}
	p.back = back
	p.balancer.tomb.Go(p.loop)
	_, _ = io.Copy(p.back, p.front)
	p.close()
	return nil
}

// loop copies the answers back.
func (p *pair) loop() error {
	_, _ = io.Copy(p.front, p.back)
	p.close()
	return nil
}

func (p *pair) close() {
	p.once.Do(func() {
		_ = p.front.Close()
		_ = p.back.Close()
	})
}
