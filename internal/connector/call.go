package connector

import (
	"net/http"
	"time"
)

// Call is one request to one replica.
type Call struct {
	// Instance identifies the replica's instance, and Address is its host:port.
	Instance string
	Address  string
	// Limit bounds the connections of this process to the instance, zero for none.
	Limit int
	// Method and Target are those of the request line, byte for byte.
	Method, Target string
	Host           string
	Header         http.Header
	// Body is sent piece by piece; it always goes with its length.
	Body [][]byte
	// Deadline ends the exchange.
	Deadline time.Time
	// Fresh asks for a connection that has hardly been idle.
	Fresh bool
	// Mine recognises the answer to this request.
	Mine func(r *http.Response) bool
}

// size returns the length of the body in bytes.
func (c *Call) size() int {
	n := 0
	for _, b := range c.Body {
		n += len(b)
	}
	return n
}
