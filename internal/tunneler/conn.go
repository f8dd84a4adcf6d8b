package tunneler

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// errBuffered is returned for a connection that has unread bytes in memory.
var errBuffered = errors.New("tunneler: bytes are buffered")

// Conn is a connection to a replica through a peer. It implements net.Conn and syscall.Conn.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// left is the number of bytes of the current frame that were not read.
	left  int
	ended bool
	// leaving is set once the peer has said that it stops soon.
	leaving atomic.Bool
	via, id string
}

func newConn(c net.Conn, via, id string) *Conn {
	return &Conn{Conn: c, reader: bufio.NewReaderSize(c, maxFrame/2), via: via, id: id}
}

// Read implements io.Reader. It returns io.EOF only after the replica has closed its
// connection; if the peer is lost it returns io.ErrUnexpectedEOF.
func (c *Conn) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		n, err := readHead(c.reader)
		switch {
		case err == io.EOF:
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			return 0, err
		case n == endFrame:
			c.ended = true
		case n == leavingFrame:
			c.leaving.Store(true)
		case n > maxFrame:
			return 0, errors.Errorf("frame of %d bytes is longer than %d", n, maxFrame)
		default:
			c.left = n
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// SyscallConn implements syscall.Conn, for a check whether bytes have arrived.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok || c.left > 0 || c.reader.Buffered() > 0 {
		return nil, errBuffered
	}
	return s.SyscallConn()
}

// Reusable reports whether a further request may be sent on the connection.
func (c *Conn) Reusable() bool { return !c.leaving.Load() }

// Via returns the name of the peer, and the id of the tunnel in its log.
func (c *Conn) Via() (peer, tunnel string) { return c.via, c.id }
