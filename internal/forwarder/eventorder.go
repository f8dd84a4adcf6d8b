package forwarder

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// errEventOrder is returned for an event whose id is not greater than that of the event before.
var errEventOrder = errors.New("the id of an event does not follow that of the event before")

// eventOrder checks that the ids of a stream's events increase. Events without an id, and ids that
// are no numbers, are not checked.
type eventOrder struct {
	last  uint64
	known bool
}

// newEventOrder returns the order of a stream that goes on after an event.
func newEventOrder(lastEventID string) eventOrder {
	last, err := strconv.ParseUint(lastEventID, 10, 64)
	return eventOrder{last: last, known: err == nil}
}

// add checks the value of an id line.
func (o *eventOrder) add(value []byte) error {
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return nil
	}
	if o.known && id <= o.last {
		return errEventOrder
	}
	o.last, o.known = id, true
	return nil
}
