package dispatcher

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

var errExpired = errors.New("the permission to dispatch expired before the request was sent")

// guard opens the connection of one request. It checks right before the first write
// that the dispatch is still permitted, which is the latest point where a process can check.
type guard struct {
	valid   func() bool
	expired atomic.Bool
}

// client returns an HTTP client for a single request that the guard checks.
func (g *guard) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: g.dial, DisableKeepAlives: true, DisableCompression: true}}
}

func (g *guard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: c, guard: g}, nil
}

// guardedConn is a connection that fails its first write if the dispatch has expired.
type guardedConn struct {
	net.Conn
	guard   *guard
	started bool
}

// Write implements io.Writer.
func (c *guardedConn) Write(p []byte) (int, error) {
	if !c.started && !c.guard.valid() {
		c.guard.expired.Store(true)
		return 0, errExpired
	}
	c.started = true
	return c.Conn.Write(p)
}
