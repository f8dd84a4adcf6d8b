package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// panicCodec makes the codec of the tests panic at the response.
func panicCodec(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Panic", "1")
	serveOK(w, r)
}

// A request that panicked after it had been sent was not answered, and its replica, its
// connection and its reserved tokens stayed taken. It may have run, so it must not be
// promised that it has not.
func TestRequestThatPanicsIsAnsweredWithoutAPromise(t *testing.T) {
	for _, target := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/turn/x"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, panicCodec).applyRoutes()
			for range 3 {
				r := f.send(http.MethodPost, target, "in", "Budget", "20") // The tokens of one turn.
				is.NoErr(r.err)
				is.Equal(r.status, http.StatusBadGateway)
				is.Equal(r.header.Get("Retry-After"), "")
			}
			is.Equal(len(f.received()), 3) // No request was sent twice.
			is.Equal(f.forwarder.Active(), 0)
		})
	}
}
