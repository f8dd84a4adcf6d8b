package linker

import "github.com/pkg/errors"

// ErrUnreached says that the call was not sent.
var ErrUnreached = errors.New("linker: peer not reached")

// ErrLost says that the answer did not arrive; the call may have been served.
var ErrLost = errors.New("linker: answer lost")
