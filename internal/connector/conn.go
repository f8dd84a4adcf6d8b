package connector

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// conn is one connection to a replica.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// lastUsed is when the last exchange ended, and idleTimeout how long the connection
	// may be idle after that.
	lastUsed    time.Time
	idleTimeout time.Duration
}

// healthy reports whether an idle connection is still open and has no unread bytes.
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
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && healthy
}
