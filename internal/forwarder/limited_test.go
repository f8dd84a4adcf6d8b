package forwarder_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// limited names a limit of one request a second in each response of a behaviour.
func limited(b behaviour) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", "1")
		b(w, r)
	}
}

// TestARequestAboveAllLimitsIsRefusedAtOnce guards against a request that is held until its
// deadline, or sent nevertheless, while all replicas are at the limits that they named. Its
// client is told that it did not run and when a replica has room.
func TestARequestAboveAllLimitsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, limited(serveOK), limited(serveOK)).applyRoutes()
	for range 2 {
		is.Equal(f.send("POST", "/unsafe/x", "a body").status, http.StatusOK)
	}
	r := f.send("POST", "/unsafe/x", "a body", "Patience", "1s")
	is.Equal(r.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after <= 1.5)
	is.Equal(len(f.received()), 2)
}

// TestOnlyItsOwnResponseNamesALimit guards against a replica's response to another request, which
// may be an earlier one, that ends the replica's limit or begins one.
func TestOnlyItsOwnResponseNamesALimit(t *testing.T) {
	rows := []struct {
		name         string
		own, foreign behaviour
		limited      int
	}{
		{"the other one names none", limited(serveOK), foreignResponse, 1},
		{"the other one names a limit", serveOK, limited(foreignResponse), 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var n atomic.Int32
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				if n.Add(1) == 2 {
					row.foreign(w, r)
					return
				}
				row.own(w, r)
			}).applyRoutes()
			is.Equal(f.send("POST", "/unsafe/x", "a body").status, http.StatusOK)
			is.Equal(f.placements.LimitedReplicas(), row.limited)
			is.Equal(f.send("POST", "/unsafe/x", "a body").status, http.StatusBadGateway)
			is.Equal(f.placements.LimitedReplicas(), row.limited)
		})
	}
}
