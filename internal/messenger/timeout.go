package messenger

import (
	"net"
	"time"
)

// writeTimeout bounds the write of one call. Calls to a peer share a connection and write
// one after the other, so a peer that does not read would block all of them.
const writeTimeout = 300 * time.Millisecond

// writeTimeoutConn is a connection whose writes fail if the peer does not read in time.
type writeTimeoutConn struct{ net.Conn }

// Write implements io.Writer.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
