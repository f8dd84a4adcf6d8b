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
	// used is when the last exchange ended, and idle how long the replica keeps it open.
	used time.Time
	idle time.Duration
}

// quiet reports whether an idle connection is open and has nothing to read.
func (c *conn) quiet() bool {
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
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
