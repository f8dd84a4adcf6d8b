package forwarder

import "pimentorail.example/pimentorail/internal/seater"

// result is how the attempt at one replica ended.
type result int

const (
	// answered means that the replica's answer went to the client whole.
	answered result = iota
	// unsent means that no byte of the request reached the replica.
	unsent
	// refused means that the replica said that it did not run the request.
	refused
	// elsewhere means that the address belongs to another instance; nothing ran.
	elsewhere
	// broken means that the request may have run and nothing was passed on.
	broken
	// cut means that the answer broke off after a part was passed on.
	cut
	// left means that the client has gone or the time is over.
	left
)

var resultNames = [...]string{"answered", "unsent", "refused", "elsewhere", "broken", "cut", "left"}

// String returns the result's name for the log.
func (r result) String() string { return resultNames[r] }

// ran reports whether the replica may have run the request.
func (r result) ran() bool { return r == answered || r == broken || r == cut || r == left }

// outcome returns what the result says of the replica.
func (r result) outcome() seater.Outcome {
	switch r {
	case answered:
		return seater.Served
	case refused:
		return seater.Refused
	case broken, unsent, elsewhere:
		return seater.Failed
	}
	return seater.Unknown
}
