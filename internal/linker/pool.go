package linker

import (
	"context"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout  = 500 * time.Millisecond
	helloTimeout = time.Second
)

// Pool is a Caller that keeps one connection to each peer.
type Pool struct {
	mu     sync.Mutex
	dial   Dialer
	secret string
	peers  map[string]*rpc.Client
	calls  int64
}

// NewPool returns a pool that greets peers with the secret.
func NewPool(dial Dialer, secret string) *Pool {
	return &Pool{dial: dial, secret: secret, peers: map[string]*rpc.Client{}}
}

// Call implements Caller.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.client(ctx, address)
	if err != nil {
		return errors.Wrapf(ErrUnreached, "%s at %s: %v", method, address, err)
	}
	// A late answer is decoded into the reply of its call after the caller has left
	// with its own, so each call has one to itself.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return errors.Wrapf(ErrLost, "%s at %s: %v", method, address, ctx.Err())
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(answer.Elem())
		return nil
	}
	p.drop(address, c)
	return errors.Wrapf(ErrLost, "%s at %s: %v", method, address, call.Error)
}

func (p *Pool) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	c, ok := p.peers[address]
	p.calls++
	p.mu.Unlock()
	if ok {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := greet(conn, p.secret); err != nil {
		_ = conn.Close()
		return nil, err
	}
	fresh := rpc.NewClient(impatient{conn})
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.peers[address]; ok {
		_ = fresh.Close()
		return old, nil
	}
	p.peers[address] = fresh
	return fresh, nil
}

func (p *Pool) drop(address string, c *rpc.Client) {
	p.mu.Lock()
	if p.peers[address] == c {
		delete(p.peers, address)
	}
	p.mu.Unlock()
	_ = c.Close()
}

// Calls returns the number of calls made.
func (p *Pool) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Close drops all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.peers {
		_ = c.Close()
		delete(p.peers, a)
	}
}
