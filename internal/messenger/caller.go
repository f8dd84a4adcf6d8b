package messenger

import (
	"context"
	"net"
)

// Caller makes remote procedure calls to daemons by address.
type Caller interface {
	// Call invokes a method ("Service.Method") at a daemon and sets reply. It returns
	// ErrNotSent if the call was not sent, and ErrNoReply if no result arrived or the
	// method returned an error.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Dialer opens a connection to the daemon at an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}
