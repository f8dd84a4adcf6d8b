package linker

import (
	"net"
	"time"
)

// writeTimeout bounds the write of one call. Calls to a peer wait for each other's
// writes, so one that does not read would hold them all up.
const writeTimeout = 300 * time.Millisecond

// impatient is a connection that breaks when its peer does not read.
type impatient struct{ net.Conn }

// Write implements io.Writer.
func (c impatient) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
