package linker

import "github.com/pkg/errors"

// ErrUnreached is returned if the call was not sent to the peer.
var ErrUnreached = errors.New("linker: peer not reached")

// ErrLost is returned if no reply arrived; the call may have been executed.
var ErrLost = errors.New("linker: no reply from peer")
