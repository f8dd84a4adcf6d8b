package screener

import (
	"bytes"
	"container/list"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
)

// refusal answers a head that doesn't fit, with the seconds until its client may come back. Its
// request has not been read and never runs.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: %.2f\r\nConnection: close\r\n\r\n"

// minRetryAfter is the least of those seconds, and as many more at most are added at random, so that
// refused clients don't come back together.
const minRetryAfter = 0.5

// refusalTimeout bounds the write of a refusal to a client that may not read.
const refusalTimeout = 50 * time.Millisecond

var errNoMemory = errors.New("screener: not enough memory for the head of a request")

// conn is a screened connection. The screener's mutex protects its fields.
type conn struct {
	net.Conn
	screener *Screener
	// place is that among the waiting connections, nil while a request is served.
	place *list.Element
	// bytes and lines are those of the head that arrives, and held is its memory in the budget.
	bytes, lines int
	held         int64
	// lastLines is the number of lines of the last read. They may be those of the next head.
	lastLines int
	http      bool
	gone      bool
}

// Read implements net.Conn. It refuses the client if the head that arrives doesn't fit.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.count(p[:n]) {
		return n, err
	}
	if c.http {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = fmt.Fprintf(c.Conn, refusal, minRetryAfter*(1+rand.Float64())) // The connection closes in any case.
	}
	// The server closes the connection without an answer of its own.
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoMemory}
}

// count counts what was read, and reports whether it fits.
func (c *conn) count(p []byte) bool {
	lines := 0
	if len(p) <= bufferBytes { // Larger reads are those of bodies.
		lines = bytes.Count(p, []byte{'\n'})
	}
	s := c.screener
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.gone {
		return false
	}
	if len(p) > 1 { // Single bytes are read while a request is served, to notice the end of the client.
		c.lastLines = lines
	}
	if c.place == nil {
		return true
	}
	c.bytes += len(p)
	c.lines += lines
	more := int64(max(0, c.bytes-freeBytes)*byteCost+max(0, c.lines-freeFields)*fieldBytes) - c.held
	if more <= 0 {
		return true
	}
	if s.used+more > s.budget {
		s.refused++
		return false
	}
	s.used += more
	c.held += more
	return true
}

// speaksHTTP lets the connection answer in HTTP when its client is refused.
func (c *conn) speaksHTTP() { c.http = true }

// Admit records that the client's request, or its identity, is known. What is read then is not that
// of a head.
func (c *conn) Admit() {
	s := c.screener
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(c)
}

// await records that the connection waits for its next request.
func (c *conn) await() {
	s := c.screener
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.gone {
		return
	}
	s.used -= c.held
	c.bytes, c.lines, c.held = 0, c.lastLines, 0
	if c.place == nil {
		c.place = s.waiting.PushBack(c)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.screener.mu.Lock()
	c.screener.forget(c)
	c.screener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the connection's sending side, which http.Server does before it closes a
// connection on which the client may still send.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection can't be closed for writing alone")
	}
	return w.CloseWrite()
}

// SetLinger sets what happens to unsent bytes when the connection is closed, as net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.New("the connection has no linger time")
	}
	return l.SetLinger(seconds)
}
