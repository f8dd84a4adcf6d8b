package connector

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// EndSilent returns a control function for sockets: their connections end when the
// peer has not acknowledged bytes for that long, also without a reset.
func EndSilent(most time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		outer := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(most.Milliseconds()))
		})
		if outer != nil {
			return outer
		}
		return err
	}
}
