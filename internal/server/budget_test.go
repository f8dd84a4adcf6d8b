package server_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/server"
)

// turnTokens is the number of tokens that each turn of these tests generates.
const turnTokens = 10

// budgetIngress converts HTTP requests to turns of program p with a budget of 8 turns.
type budgetIngress struct{ forwarder *forwarder.Forwarder }

// ServeHTTP implements http.Handler.
func (i budgetIngress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.forwarder.Serve(r.Context(), w, &forwarder.Request{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Host: r.Host, Hostname: "h", Path: r.URL.Path,
		Header: http.Header{"Id": r.Header["Id"]}, Arrived: time.Now(), Timeout: clientTimeout(r),
		Program: "p", Budgeted: true, Budget: 8 * turnTokens, MaxTokens: turnTokens,
	})
}

// startInZone starts a daemon whose clients run turns with a budget.
func startInZone(t *testing.T, store *emulator.Store, ip, zone, other string) *daemon {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{t: t, store: store, front: ip + ":7001", ready: ip + ":7002", cancel: cancel, ended: make(chan error, 1)}
	go d.run(ctx, server.Options{
		Name: "vm-" + zone + "-1", VM: "vm-" + zone, Zone: zone, Zones: 2, OtherZones: []string{other}, ClientAddress: d.front, ReadyAddress: d.ready, PeerAddress: ip + ":7003", ReadyPath: "/ready",
		Grace: 3 * time.Second, RowBytes: 1000, MemoryBytes: 64 << 20, Output: io.Discard,
	}, server.Platform{
		Table: store, Feed: store, Codec: plainCodec{}, CatalogTable: "config", CatalogKey: "all",
		DecodeCatalog: func([]byte) (*cataloger.Catalog, error) {
			r := &cataloger.Route{Host: "h", Prefix: "/", Kind: cataloger.Streaming, Shares: []cataloger.Share{{Service: "s", Weight: 1}}, Timeout: 20 * time.Second}
			return cataloger.New(1, []*cataloger.Route{r}, []*cataloger.Service{{Name: "s", Model: true, EventTokens: turnTokens}}, cataloger.Limits{}), nil
		},
		ReplicaTable: "replicas", DecodeReplica: decodeReplica,
		Ingress: func(f *forwarder.Forwarder, _ *cataloger.Keeper) http.Handler { return budgetIngress{f} },
	})
	t.Cleanup(func() { _ = d.stop() })
	return d
}

// TestAProgramThatMovesToAnotherZoneGetsItsLastTurn guards against a denial of the last turn
// that the budget covers, after the client has moved to another zone: the daemon there has to
// find the process that holds unused tokens, and to reach it.
func TestAProgramThatMovesToAnotherZoneGetsItsLastTurn(t *testing.T) {
	is := is.New(t)
	store := emulator.NewStore()
	r := &replica{Server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", q.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "data: word\n\n")
	}))}
	t.Cleanup(r.Close)
	z := &strandedZone{number: int(zones.Add(1))}
	first, second := startInZone(t, store, z.ip(0), "y", "z"), startInZone(t, store, z.ip(1), "z", "y")
	first.register("a", "s", r)
	first.put("config//all", "1")
	first.waitUntilReady()
	second.waitUntilReady()
	for range 500 {
		y, _ := store.Scan(context.Background(), "members-y/peers/", "", 1)
		z, _ := store.Scan(context.Background(), "members-z/peers/", "", 1)
		if len(y)+len(z) == 2 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	status, _ := get("http://" + first.front + "/")
	is.Equal(status, http.StatusOK)
	time.Sleep(time.Second) // The first daemon has checked the program.
	for range 7 {
		status, _ = get("http://" + second.front + "/")
		is.Equal(status, http.StatusOK)
	}
	status, _ = get("http://" + second.front + "/")
	is.Equal(status, http.StatusPaymentRequired)
}
