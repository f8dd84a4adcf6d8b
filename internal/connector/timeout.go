package connector

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeoutControl returns a control function for sockets that sets TCP_USER_TIMEOUT: a
// connection is closed if the peer does not acknowledge sent bytes within the timeout,
// even if no reset arrives.
func UserTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}
