package forwarder_test

import (
	"strings"
	"testing"
	"time"

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

// TestAStreamIsNotResumedAtAServiceThatCannotBeCalled guards against a resumed stream that is sent
// in plain text to a service which requires TLS: its service is the one at which it began, and not
// the one that the route chooses for its id.
func TestAStreamIsNotResumedAtAServiceThatCannotBeCalled(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1")
	began := f.beginStreams(8)
	time.Sleep(recordTime)
	route := &cataloger.Route{
		Name: "stream", Host: "h", Prefix: "/stream/", Kind: cataloger.Streaming, MaxRuns: 1, Resumable: true, Timeout: 20 * time.Second,
		Shares: []cataloger.Share{{Service: "other", Weight: 999}, {Service: "s", Weight: 1}},
	}
	f.catalog.Apply(cataloger.New(2, []*cataloger.Route{route}, []*cataloger.Service{{Name: "s", Unsupported: "TLS"}, {Name: "other"}}, cataloger.Limits{}))
	arrived := len(f.received())
	for stream := range began {
		r := f.resume(stream)
		is.Equal(r.status, 503)
		is.True(strings.Contains(r.body, `"ran":"no"`))
		is.True(strings.Contains(r.body, "TLS"))
	}
	is.Equal(len(f.received()), arrived)
}
