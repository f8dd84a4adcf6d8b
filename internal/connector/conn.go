package connector

import (
	"bufio"
	"bytes"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errHeadTooLong is returned if a replica sends more than maxHeadBytes without completing
// the head of a response.
var errHeadTooLong = errors.Errorf("response head exceeds %d bytes", maxHeadBytes)

// headEnd ends the last line of a head and the empty line after it.
var headEnd = []byte("\r\n\r\n")

// conn is one connection to a replica.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// detoured is set if the connection leads through a peer.
	detoured bool
	// heardAt is set to the time, in Unix nanoseconds, at which something is received.
	heardAt *atomic.Int64
	// inHead is set while the head of a response is read, and headLeft is the number of
	// bytes that may still be read for it. A replica in trouble may send bytes without end.
	inHead   bool
	headLeft int
	// headLines is the number of lines of that head.
	headLines int
	// holdHead reserves memory for a head that is longer than usual; nil for no limit.
	holdHead func(bytes int) error
	// openedAt is a time at which the connection was open already.
	openedAt time.Time
	// lastUsed is when the last exchange ended, and idleTimeout how long the connection
	// may be idle after that; idleNamed is set if the replica named its own idle timeout.
	lastUsed    time.Time
	idleTimeout time.Duration
	idleNamed   bool
	// sent holds the IDs of the calls that were sent.
	sent sentIDs
	// brokenOff is set if the replica closed the connection while it was idle.
	brokenOff bool
}

// beginHead limits the bytes that are read until endHead is called.
func (c *conn) beginHead(hold func(bytes int) error) {
	c.inHead, c.headLeft, c.headLines, c.holdHead = true, maxHeadBytes, 0, hold
}

func (c *conn) endHead() { c.inHead, c.holdHead = false, nil }

// countHead counts what was read while a head is read.
func (c *conn) countHead(p []byte) error {
	c.headLeft -= len(p)
	head, _, _ := bytes.Cut(p, headEnd) // The body may follow.
	lines := bytes.Count(head, headEnd[1:2])
	c.headLines += lines
	if c.holdHead == nil {
		return nil
	}
	beyond := max(0, min(len(head), maxHeadBytes-c.headLeft-readBufferBytes))
	fields := max(0, min(lines, c.headLines-usualFields))
	if beyond+fields == 0 {
		return nil
	}
	return c.holdHead(beyond*headCopies + fields*fieldBytes)
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if c.inHead {
		if c.headLeft == 0 {
			return 0, errHeadTooLong
		}
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.detoured {
		c.heardAt.Store(time.Now().UnixNano())
	}
	if c.inHead {
		if holdErr := c.countHead(p[:n]); holdErr != nil {
			return 0, holdErr
		}
	}
	return n, err
}

// reusable reports whether the way of the connection may be used for further requests.
func (c *conn) reusable() bool {
	r, ok := c.Conn.(interface{ Reusable() bool })
	return !ok || r.Reusable()
}

// healthy reports whether an idle connection is still open and has no unread bytes. A replica
// that did not name its idle timeout may close a connection as planned.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		c.brokenOff = err == syscall.ECONNRESET || err == nil && n <= 0 && c.idleNamed
		return true
	})
	return err == nil && healthy
}
