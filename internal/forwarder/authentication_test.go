package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/authenticator"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/forwarder"
)

// applyAccountsVersion applies a version in which account "north" holds the keys, and one route is public.
func (f *fixture) applyAccountsVersion(t *testing.T, version uint64, name string, keys ...string) {
	t.Helper()
	share := []cataloger.Share{{Service: "s", Weight: 1}}
	digests := make([]cataloger.KeyDigest, len(keys))
	for i, k := range keys {
		digests[i] = cataloger.DigestKey(k)
	}
	c, err := cataloger.New(version, []*cataloger.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: cataloger.Safe, MaxRuns: 2, Shares: share, Timeout: 20 * time.Second},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: cataloger.Streaming, MaxRuns: 1, Shares: share, Timeout: 20 * time.Second},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: cataloger.Safe, MaxRuns: 2, Shares: share, Timeout: 20 * time.Second, Public: true},
	}, []*cataloger.Service{{Name: "s"}}, cataloger.Limits{}).WithAccounts([]*cataloger.Account{cataloger.NewAccount(name, digests...)})
	if err != nil {
		t.Fatal(err)
	}
	f.catalog.Apply(c)
}

// sendWithKey sends a request with a key and returns the response's status and body.
func (f *fixture) sendWithKey(target, key string) (int, string) {
	f.lastID++
	q := &forwarder.Request{
		ID: fmt.Sprint("key-", f.lastID), Method: http.MethodGet, Target: target, Host: "h", Hostname: "h", Path: target, Header: http.Header{"Id": {fmt.Sprint("key-", f.lastID)}},
		Arrived: time.Now(), Timeout: 10 * time.Second, Credential: authenticator.Parse([]string{"Bearer " + key}),
	}
	w := httptest.NewRecorder()
	f.forwarder.Serve(f.t.Context(), w, q)
	body, _ := io.ReadAll(w.Body)
	return w.Code, string(body)
}

// TestAKeyWithdrawnBeforeAnotherAttempt guards against a request that is sent to a replica after
// its key was withdrawn, because it was refused by another replica or waited for one before.
func TestAKeyWithdrawnBeforeAnotherAttempt(t *testing.T) {
	for _, row := range []struct {
		name string
		next func(f *fixture)
		// first is what the first replica does after the version is in force.
		first   behaviour
		status  int
		arrived int
	}{
		{"not run, withdrawn", func(f *fixture) { f.applyAccountsVersion(t, 2, "north") }, notRun, 401, 1},
		{"not run, withdrawn and another account", func(f *fixture) { f.applyAccountsVersion(t, 2, "south", "other") }, notRun, 401, 1},
		{"not run, moved to another account", func(f *fixture) { f.applyAccountsVersion(t, 2, "south", "k") }, notRun, 503, 1},
		{"not run, a further key", func(f *fixture) { f.applyAccountsVersion(t, 2, "north", "j", "k") }, notRun, 200, 2},
		{"not run, no accounts", func(f *fixture) { f.applyRoutesAs(2) }, notRun, 200, 2},
		{"may have run, withdrawn", func(f *fixture) { f.applyAccountsVersion(t, 2, "north") }, dropConnection, 502, 1},
		{"may have run, a further key", func(f *fixture) { f.applyAccountsVersion(t, 2, "north", "j", "k") }, dropConnection, 200, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var f *fixture
			var sent atomic.Bool
			handler := func(w http.ResponseWriter, r *http.Request) {
				if sent.Swap(true) {
					serveOK(w, r)
					return
				}
				row.next(f)
				row.first(w, r)
			}
			f = newFixture(t, handler, handler)
			f.applyAccountsVersion(t, 1, "north", "k")
			status, body := f.sendWithKey("/safe/x", "k")
			is.Equal(status, row.status)
			is.Equal(len(f.received()), row.arrived)
			if status == 401 {
				is.True(len(body) > 0)
			}
		})
	}
}

// TestAnOpenStreamOutlivesItsKey guards against a stream that is cut off by the version that
// withdraws its key.
func TestAnOpenStreamOutlivesItsKey(t *testing.T) {
	is := is.New(t)
	var f *fixture
	f = newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 0\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		f.applyAccountsVersion(t, 2, "north")
		_, _ = io.WriteString(w, "id: 1\ndata: b\n\n")
	})
	f.applyAccountsVersion(t, 1, "north", "k")
	status, body := f.sendWithKey("/stream/x", "k")
	is.Equal(status, 200)
	is.Equal(body, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n")
	status, _ = f.sendWithKey("/stream/x", "k")
	is.Equal(status, 401)
}

// applyRoutesAs applies a version without accounts.
func (f *fixture) applyRoutesAs(version uint64) {
	share := []cataloger.Share{{Service: "s", Weight: 1}}
	f.catalog.Apply(cataloger.New(version, []*cataloger.Route{{Name: "safe", Host: "h", Prefix: "/safe/", Kind: cataloger.Safe, MaxRuns: 2, Shares: share}}, []*cataloger.Service{{Name: "s"}}, cataloger.Limits{}))
}

// TestAKeyIsJudgedWhereTheConfigurationIsUnsure guards against a 401 for a key that a version which
// was not read may have added, and against a daemon that has just resumed and serves a withdrawn
// key.
func TestAKeyIsJudgedWhereTheConfigurationIsUnsure(t *testing.T) {
	f := newFixture(t, serveOK)
	f.applyAccountsVersion(t, 1, "north", "k")
	send := func(target, key string, want int) {
		t.Helper()
		if status, body := f.sendWithKey(target, key); status != want {
			t.Errorf("%s with key %s: status %d, want %d; %s", target, key, status, want, body)
		}
	}
	send("/safe/x", "k", 200)
	send("/safe/x", "unknown", 401)
	now := time.Now()
	f.catalog.Try(now, now) // The reads fail.
	send("/safe/x", "k", 200)
	send("/safe/x", "unknown", 503)
	send("/open/x", "unknown", 200)
	f.catalog.Try(now.Add(-time.Hour), now.Add(-time.Hour)) // There was none for a long time.
	send("/safe/x", "k", 503)
	send("/safe/x", "unknown", 503)
	send("/open/x", "k", 200)
	f.catalog.Confirm(time.Now().Add(time.Minute))
	send("/safe/x", "k", 200)
	send("/safe/x", "unknown", 401)
}

// TestARequestThatCameBeforeTheAccounts guards against a request that a replica runs without an
// account, and with the client's key, after the configuration names accounts, because it was
// refused by another replica or waited for one before.
func TestARequestThatCameBeforeTheAccounts(t *testing.T) {
	for _, row := range []struct {
		name, key string
		first     behaviour
		// status is that of the request, and retried that of one that the client sends afterwards.
		status, retried int
	}{
		{"not run, unknown key", "other", notRun, 503, 401},
		{"not run, known key", "k", notRun, 503, 200},
		{"may have run, known key", "k", dropConnection, 502, 200},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var f *fixture
			var sent atomic.Bool
			handler := func(w http.ResponseWriter, r *http.Request) {
				if sent.Swap(true) {
					serveOK(w, r)
					return
				}
				f.applyAccountsVersion(t, 2, "north", "k")
				row.first(w, r)
			}
			f = newFixture(t, handler, handler)
			f.applyRoutesAs(1)
			status, _ := f.sendWithKey("/safe/x", row.key)
			is.Equal(status, row.status)
			is.Equal(len(f.received()), 1)
			status, _ = f.sendWithKey("/safe/x", row.key)
			is.Equal(status, row.retried)
		})
	}
}
