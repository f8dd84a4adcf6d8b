package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTypesOfStreams guards against a stream that is not forwarded event by event, or whose turn is
// not stored, because of how its replica writes its type, and against other types that count as one.
func TestTypesOfStreams(t *testing.T) {
	for kind, stream := range map[string]bool{
		"text/event-stream": true, "text/event-stream; charset=utf-8": true, "text/event-stream;charset=utf-8": true,
		"Text/Event-Stream": true, "TEXT/EVENT-STREAM ; charset=UTF-8": true,
		"text/event-stream-of-errors": false, "application/json": false,
	} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			f, s := newScriptedFixture(t, direct)
			pieces := untilClose(events4And5, "id: 6\nda")
			pieces[0] = strings.Replace(pieces[0], "text/event-stream", kind, 1)
			s.use(script{pieces, closes})
			got := f.send(http.MethodPost, "/stream/", "x")
			is.Equal(got.err != nil, stream) // Only a stream of events ends within one.
			pieces = untilClose(events4And5)
			pieces[0] = strings.Replace(pieces[0], "text/event-stream", kind, 1)
			s.use(script{pieces, closes})
			is.Equal(f.send(http.MethodPost, "/turn/", "x").status, http.StatusOK)
			next := f.send(http.MethodPost, "/turn/", "y", "Parent", fmt.Sprint("id-", f.lastID))
			is.Equal(next.status != http.StatusNotFound, stream)
		})
	}
}
