package acceptor

import (
	"net"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// passing are the errors of socket, bind and listen that may succeed later.
var passing = []syscall.Errno{
	syscall.EADDRINUSE,
	// An address may be assigned to the VM after the process has started.
	syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EAGAIN, syscall.EINTR,
}

// IsPassing reports whether listening at the same address may succeed later. Other errors,
// such as a malformed address or a missing permission, are final.
func IsPassing(err error) bool {
	var code syscall.Errno
	return !errors.Is(err, net.ErrClosed) && errors.As(err, &code) && slices.Contains(passing, code)
}
