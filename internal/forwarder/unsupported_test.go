package forwarder_test

import (
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
)

// TestAServiceThatCannotBeCalledGetsNoRequest guards against requests that are sent in plain text
// to replicas which require TLS.
func TestAServiceThatCannotBeCalledGetsNoRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, serveOK)
	route := &cataloger.Route{Name: "safe", Host: "h", Prefix: "/safe/", Kind: cataloger.Safe, MaxRuns: 2, Shares: []cataloger.Share{{Service: "s", Weight: 1}}}
	f.catalog.Apply(cataloger.New(1, []*cataloger.Route{route}, []*cataloger.Service{{Name: "s", Unsupported: "TLS"}}, cataloger.Limits{}))
	is.Equal(f.send("GET", "/safe/", "").status, 503)
	is.Equal(len(f.received()), 0)
}
