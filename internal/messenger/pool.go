package messenger

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout      = 500 * time.Millisecond
	handshakeTimeout = time.Second
)

// Pool is a Caller that keeps one connection to each peer.
type Pool struct {
	mu      sync.Mutex
	dial    Dialer
	secret  string
	clients map[string]*rpc.Client
	calls   int64
}

// NewPool returns a pool without connections that sends the secret on each new one.
func NewPool(dial Dialer, secret string) *Pool {
	return &Pool{dial: dial, secret: secret, clients: map[string]*rpc.Client{}}
}

// Call implements Caller.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.client(ctx, address)
	if err != nil {
		return errors.Wrapf(ErrNotSent, "%s at %s: %v", method, address, err)
	}
	// A late reply may be decoded after this function has returned and the caller uses its
	// variable again, so each call decodes into its own value.
	value := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.Go(method, args, value.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return errors.Wrapf(ErrNoReply, "%s at %s: %v", method, address, ctx.Err())
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(value.Elem())
		return nil
	}
	// The connection failed, or the method returned an error (rpc.ServerError).
	p.drop(address, c)
	return errors.Wrapf(ErrNoReply, "%s at %s: %v", method, address, call.Error)
}

// client returns the connection to a peer, and opens it if there is none.
func (p *Pool) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	c, ok := p.clients[address]
	p.calls++
	p.mu.Unlock()
	if ok {
		return c, nil
	}
	conn, err := p.open(ctx, address, rpcKind)
	if err != nil {
		return nil, err
	}
	created := rpc.NewClient(writeTimeoutConn{conn})
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.clients[address]; ok {
		_ = created.Close()
		return existing, nil
	}
	p.clients[address] = created
	return created, nil
}

// OpenStream opens a connection of its own to a peer, which hands it to the handler that is
// registered for the kind. The caller must close it.
func (p *Pool) OpenStream(ctx context.Context, address, kind string) (net.Conn, error) {
	c, err := p.open(ctx, address, kind)
	return c, errors.Wrapf(err, "open %s at %s", kind, address)
}

// open dials a peer and sends the secret.
func (p *Pool) open(ctx context.Context, address, kind string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := sendSecret(conn, p.secret, kind); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// drop closes a connection after a failed call, so that the next call opens a new one.
func (p *Pool) drop(address string, c *rpc.Client) {
	p.mu.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	_ = c.Close()
}

// Calls returns the number of calls, including those that were not sent.
func (p *Pool) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.clients {
		_ = c.Close()
		delete(p.clients, a)
	}
}
