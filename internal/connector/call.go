package connector

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Dialer opens a connection.
type Dialer func(ctx context.Context) (net.Conn, error)

// Call is one request to one replica.
type Call struct {
	// Instance identifies the replica's instance, and Address is its host and port.
	Instance string
	Address  string
	// Detour opens a connection to the replica through a peer, for a daemon whose own link to
	// the replica is cut; nil for none.
	Detour Dialer
	// Limit is the maximum number of connections from this process to the instance, zero
	// for no limit.
	Limit int
	// Method and Target are sent unchanged in the request line.
	Method, Target string
	Host           string
	Header         http.Header
	// Body holds the parts of the body, which are sent in order. Its total length is sent
	// as Content-Length.
	Body [][]byte
	// Deadline is the deadline of the whole exchange.
	Deadline time.Time
	// Fresh excludes connections that have been idle for more than maxFreshIdle.
	Fresh bool
	// Process tells which connections lead to the process that the call is for. A connection to
	// another process is not used; nil accepts any.
	Process Process
	// ID identifies the request in its response; empty if responses name no request. It is sent
	// at most once on a connection: a faulty replica may write its response to an earlier
	// request with the same ID again, which nothing distinguishes from the response to this one.
	ID string
	// Matches reports whether a response belongs to this request; nil accepts any.
	Matches func(r *http.Response) bool
	// HoldHead reserves memory for a response head that is longer than usual, and returns an
	// error that ends the exchange; nil for no limit.
	HoldHead func(bytes int) error
}

// size returns the length of the body in bytes.
func (c *Call) size() int {
	n := 0
	for _, b := range c.Body {
		n += len(b)
	}
	return n
}
