package server

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// clientConn is the connection of a client. The mutex of its clientConns protects its state.
type clientConn struct {
	net.Conn
	conns    *clientConns
	openedAt time.Time
	// used is set once a byte was read, and busy from the first byte of a request until its
	// response is written.
	used, busy bool
	// idle is set while the server believes that no byte of a request was read, as it does of a new
	// connection until the head of the first request is complete.
	idle, closed bool
}

// Read implements net.Conn. What was read when the connection was closed is not returned, so
// that no request runs whose response can't be written.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.used, c.busy = true, true
	return n, err
}

// Close implements net.Conn. A connection of which a request was read is no idle one.
func (c *clientConn) Close() error {
	if !c.end() {
		return nil
	}
	return c.Conn.Close()
}

// end reports whether the connection is to be closed.
func (c *clientConn) end() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.conns.sweeps && c.idle && c.busy {
		return false
	}
	c.closed = true
	delete(c.conns.conns, c)
	return true
}

// NetConn returns the connection that this one follows.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the connection's sending side, which http.Server does before it closes a
// connection on which the client may still send.
func (c *clientConn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection can't be closed for writing alone")
	}
	return w.CloseWrite()
}

// SetLinger sets what happens to unsent bytes when the connection is closed, as net.TCPConn does.
func (c *clientConn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.New("the connection has no linger time")
	}
	return l.SetLinger(seconds)
}
