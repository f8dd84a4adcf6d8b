package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/tracker"
)

// maxTakeUps bounds how often a client asks for the rest of a stream until its beginning is
// recorded.
const maxTakeUps = 20

// TestAnErrorAfterABrokenStream guards against the error of a replica in the middle of a client's
// stream: the stream began at one daemon and broke off, the client takes it up at another one, and
// the replica there answers with an error, or with a stream that holds one.
func TestAnErrorAfterABrokenStream(t *testing.T) {
	is := is.New(t)
	f, s := newScriptedFixture(t, direct)
	r := &tracker.Replica{ID: "0", Service: "s", Address: s.listener.Addr().String(), Slots: 4, Version: "v1", StartedMS: scriptedStart}
	f.putRows(tracker.Row{ID: "0", Replica: r})
	f.startRegistry(0)
	s.use(script{withChunks("", scriptedEvent(2), scriptedEvent(3)+"id: 4\nda"), resets})
	begun := f.sendAs(context.Background(), "broken", http.MethodPost, "/stream/", "x")
	is.True(begun.err != nil)
	is.Equal(begun.body, scriptedEvent(2)+scriptedEvent(3))
	f.startForwarder(context.Background())
	for i, row := range append(append(errorRows(), streamRows()...), errorTextRows()...) {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s.use(row.script)
			var got response
			for n := range maxTakeUps {
				id := fmt.Sprint("take-up-", i, "-", n)
				got = f.sendAs(context.Background(), id, http.MethodPost, "/stream/", "x", "Resumes", "broken", "Last-Event", "3")
				if s.reached() {
					break
				}
				// The replica may have closed the connection on which its response before came.
				is.True(got.status == http.StatusBadGateway || got.status == http.StatusServiceUnavailable && strings.Contains(got.body, `"ran":"no"`))
				is.Equal(got.header.Get("Stamp"), "")
				time.Sleep(resendDelay)
			}
			is.True(s.reached())
			row.compare(t, got)
		})
	}
}
