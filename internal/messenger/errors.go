package messenger

import "github.com/pkg/errors"

// ErrNotSent is returned if the call was not sent to the peer.
var ErrNotSent = errors.New("messenger: peer not reached")

// ErrNoReply is returned if no result arrived or the method returned an error; the call
// may have been executed.
var ErrNoReply = errors.New("messenger: no reply from peer")
