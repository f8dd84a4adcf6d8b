package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// brokenHead is a response of which a replica sends a part of the head.
type brokenHead struct{ name, head, body string }

var brokenHeads = []brokenHead{
	{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: $ID\r\nStamp: 7\r\nContent-Type: application/json\r\n\r\n", `{"sum": 123}`},
	{"length last", "HTTP/1.1 200 OK\r\nId: $ID\r\nStamp: 7\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n", `{"sum": 123}`},
	{"until close", "HTTP/1.1 200 OK\r\nId: $ID\r\nStamp: 7\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n", `{"sum": 123}`},
	{"chunked", "HTTP/1.1 200 OK\r\nId: $ID\r\nTransfer-Encoding: chunked\r\nStamp: 7\r\n\r\n", "c\r\n" + `{"sum": 123}` + "\r\n0\r\n\r\n"},
	{"bare line feeds", "HTTP/1.1 200 OK\nId: $ID\nStamp: 7\nContent-Length: 12\n\n", `{"sum": 123}`},
	{"stream", "HTTP/1.1 200 OK\r\nId: $ID\r\nStamp: 7\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("id: 4\ndata: w\n\n") + "0\r\n\r\n"},
	{"stream until close", "HTTP/1.1 200 OK\r\nId: $ID\r\nStamp: 7\r\nContent-Type: text/event-stream\r\n\r\n", "id: 4\ndata: w\n\n"},
}

// placesInHead is the number of places at which a head breaks off.
const placesInHead = 12

// informational are the responses that may come before the head.
var informational = []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", ""}

// TestABrokenHeadIsNoResponse guards against a replica that closes in the middle of a head, and a client that gets a
// whole 200 with an empty or short body for it: on a channel that was used before, at a second attempt, for a stream
// that is resumed at another daemon, through a peer, with a head in pieces, and after an informational response.
func TestABrokenHeadIsNoResponse(t *testing.T) {
	for w := direct; w <= resumedThroughPeer; w++ {
		for _, h := range brokenHeads {
			t.Run(w.String()+"/"+h.name, func(t *testing.T) {
				t.Parallel()
				f, s := newScriptedFixture(t, w)
				reached := 0
				for i := range placesInHead {
					cut := 1 + i*(len(h.head)-2)/(placesInHead-1)
					before := informational[i%len(informational)]
					path := []string{"/unsafe/", "/safe/", "/stream/", "/safe/"}[i%4]
					pieces := []string{before + h.head[:cut]}
					if i%5 > 2 && cut > 1 {
						pieces = []string{before + h.head[:cut/2], h.head[cut/2 : cut]}
					}
					if i%2 == 0 {
						// The channel was used before.
						s.use(script{[]string{h.head + h.body}, keepsOpen})
						_ = f.sendAs(context.Background(), fmt.Sprint("before-", i), http.MethodPost, path, fmt.Sprint("b", i), append(w.header(), "Patience", "300ms")...)
					}
					s.use(script{pieces, []ending{closes, closes, resets}[i%3]})
					got := f.sendAs(context.Background(), fmt.Sprint("cut-", i), http.MethodPost, path, fmt.Sprint("x", i), w.header()...)
					if s.reached() {
						reached++
					}
					if got.err == nil && got.status < http.StatusInternalServerError {
						t.Errorf("cut after %q at %s: status %d, body %q", strings.Join(pieces, "|"), path, got.status, got.body)
					}
				}
				if reached < placesInHead/2 {
					t.Errorf("only %d of %d requests reached the replica", reached, placesInHead)
				}
			})
		}
	}
}

// TestATurnWithABrokenHeadIsNotKept guards against a turn whose replica closed in the middle of its head, and that is
// continued as one with an empty output.
func TestATurnWithABrokenHeadIsNotKept(t *testing.T) {
	stream := brokenHeads[5]
	for _, h := range brokenHeads {
		t.Run(h.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f, s := newScriptedFixture(t, direct)
			s.use(script{[]string{stream.head + stream.body}, keepsOpen})
			is.Equal(f.sendAs(context.Background(), "whole", http.MethodPost, "/turn/", "whole").status, http.StatusOK)
			is.Equal(f.sendAs(context.Background(), "next", http.MethodPost, "/turn/", "next", "Parent", "whole").status, http.StatusOK)
			for i := range placesInHead {
				id := fmt.Sprint("turn-", i)
				s.use(script{[]string{h.head[:1+i*(len(h.head)-2)/(placesInHead-1)]}, closes})
				got := f.sendAs(context.Background(), id, http.MethodPost, "/turn/", id)
				is.True(got.err != nil || got.status >= http.StatusInternalServerError)
				s.use(script{[]string{stream.head + stream.body}, keepsOpen})
				got = f.sendAs(context.Background(), "after "+id, http.MethodPost, "/turn/", "after "+id, "Parent", id)
				is.Equal(got.status, http.StatusNotFound)
			}
		})
	}
}
