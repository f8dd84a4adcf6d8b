package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// leaving announces the replica's end in each response of a behaviour.
func leaving(b behaviour) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		b(w, r)
	}
}

// TestALeavingReplicaGetsNoRequests guards against requests that reach a replica after it
// announced its end in a response, while the registry still lists it as ready. Each row is
// a kind of response with the announcement; each replica may get one request.
func TestALeavingReplicaGetsNoRequests(t *testing.T) {
	rows := []struct {
		name      string
		behaviour behaviour
		path      string
	}{
		{"success", serveOK, "/safe/x"},
		{"stream", streamEvents(true), "/turn/x"},
		{"broken stream", streamEvents(false), "/turn/x"},
		{"failure of the replica", ownFailure, "/safe/x"},
		{"refusal", notRun, "/safe/x"},
		{"response to another request", foreignResponse, "/safe/x"},
		{"broken body", truncateBody, "/safe/x"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, leaving(row.behaviour), leaving(row.behaviour), leaving(row.behaviour)).applyRoutes()
			for i := range 12 {
				f.send("POST", row.path, fmt.Sprint("body ", i))
			}
			counts := map[int]int{}
			for _, a := range f.received() {
				counts[a.replica]++
			}
			is.Equal(counts, map[int]int{0: 1, 1: 1, 2: 1})
		})
	}
}

// TestAnotherReplicaAtTheAddressDoesNotSpeakForIt guards against a replica that is taken for
// leaving because another one, which now has its address, announced its own end.
func TestAnotherReplicaAtTheAddressDoesNotSpeakForIt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, leaving(misdirected)).applyRoutes()
	f.send("POST", "/safe/x", "one")
	is.Equal(len(f.tracker.Usable("s")), 1)
}
