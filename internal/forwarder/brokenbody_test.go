package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// largeBody is more than a daemon reads before it forwards the first byte.
var largeBody = strings.Repeat("0123456789abcdef", 32<<10)

// bodyHead returns the head of a response that is no stream.
func bodyHead(status, lines string) string {
	return "HTTP/1.1 " + status + "\r\nId: $ID\r\nStamp: 7\r\nContent-Type: application/json\r\n" + lines + "\r\n"
}

// TestABrokenBodyDoesNotLookComplete guards against a response that is no stream, on a route of
// streams or not, that broke off and looks complete.
func TestABrokenBodyDoesNotLookComplete(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(largeBody))
	part := largeBody[:len(largeBody)-100]
	rows := []responseRow{
		{name: "until the end", script: script{[]string{bodyHead("200 OK", ""), "{}"}, closes}, status: 200, body: "{}"},
		{name: "HTTP/1.0 until the end", script: script{[]string{strings.Replace(bodyHead("200 OK", ""), "1.1", "1.0", 1), "{}"}, closes}, status: 200, body: "{}"},
		{name: "until a reset", script: script{[]string{bodyHead("200 OK", ""), "{}"}, resets}, status: 502},
		{name: "a part of its length", script: script{[]string{bodyHead("200 OK", "Content-Length: 9\r\n"), "{}"}, closes}, status: 502},
		{name: "no last chunk", script: script{[]string{bodyHead("200 OK", "Transfer-Encoding: chunked\r\n"), chunk("{}")}, closes}, status: 502},
		{name: "more than its length", script: script{[]string{bodyHead("200 OK", "Content-Length: 2\r\n") + "{}" + errorResponse}, keepsOpen}, status: 200, body: "{}"},
		{name: "large", script: script{[]string{bodyHead("200 OK", length), largeBody}, keepsOpen}, status: 200, body: largeBody},
		{name: "large, until the end", script: script{[]string{bodyHead("200 OK", ""), largeBody}, closes}, status: 200, body: largeBody},
		{name: "201 of a stream", script: script{[]string{strings.Replace(streamHead, "200 OK", "201 Created", 1) + "\r\n", events4And5}, closes}, status: 201, body: events4And5},
		{name: "204", script: script{[]string{"HTTP/1.1 204 No Content\r\nId: $ID\r\nStamp: 7\r\n\r\n"}, keepsOpen}, status: 204},
		{name: "204 with a body", script: script{[]string{"HTTP/1.1 204 No Content\r\nId: $ID\r\nStamp: 7\r\nContent-Length: 6\r\n\r\nbroken"}, keepsOpen}, status: 204},
		{name: "304", script: script{[]string{"HTTP/1.1 304 Not Modified\r\nId: $ID\r\nStamp: 7\r\nContent-Length: 6\r\n\r\n"}, keepsOpen}, status: 304},
	}
	// A status that is none was passed on, or closed the client's channel without a response.
	for _, status := range []string{"000 None", "001 None", "099 None", "600 None", "999 None"} {
		rows = append(rows, responseRow{name: status, script: script{[]string{bodyHead(status, "Content-Length: 5\r\n"), "hello"}, keepsOpen}, status: 502})
	}
	broken := []responseRow{
		{name: "a part of its length", script: script{[]string{bodyHead("200 OK", length), part}, closes}},
		{name: "until a reset", script: script{[]string{bodyHead("200 OK", ""), part}, resets}},
		{name: "no last chunk", script: script{[]string{bodyHead("200 OK", "Transfer-Encoding: chunked\r\n"), chunk(part)}, closes}},
		{name: "an error of which a part comes", script: script{[]string{bodyHead("500 Internal Server Error", length), part}, closes}},
	}
	for w := direct; w <= resumedThroughPeer; w++ {
		for _, path := range []string{"/stream/", "/unsafe/"} {
			for _, row := range rows {
				t.Run(w.String()+path+row.name, func(t *testing.T) {
					f, s := newScriptedFixture(t, w)
					row.check(t, f, s, "one", path, w.header()...)
				})
			}
			for _, row := range broken {
				t.Run(w.String()+path+"large, "+row.name, func(t *testing.T) {
					is := is.New(t)
					f, s := newScriptedFixture(t, w)
					s.use(row.script)
					got := f.sendAs(context.Background(), "one", http.MethodPost, path, "x", w.header()...)
					is.True(got.err != nil || got.status >= 500 && got.header.Get("Stamp") == "")
					is.True(got.err == nil || strings.HasPrefix(part, got.body))
				})
			}
		}
	}
}

// TestAHeadHasNoBody guards against a request for the head of a stream that waits for its events.
func TestAHeadHasNoBody(t *testing.T) {
	is := is.New(t)
	f, s := newScriptedFixture(t, direct)
	s.use(script{withLength(len(events4And5), ""), keepsOpen})
	got := f.sendAs(context.Background(), "one", http.MethodHead, "/turn/", "")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "")
}

// TestBytesAfterAResponseBelongToNoRequest guards against bytes that a replica writes after a
// stream, and that reach the next client of the connection.
func TestBytesAfterAResponseBelongToNoRequest(t *testing.T) {
	for name, rest := range map[string]string{
		"an error":               errorResponse,
		"an error without an id": strings.Replace(errorResponse, "Id: $ID\r\n", "", 1),
		"a part of a status":     "HTTP/1.1 500 Inter",
		"a part of a head":       "HTTP/1.1 500 Internal Server Error\r\nCause: bro",
		"a part of a refusal":    "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nCause: bro",
		"events":                 scriptedEvent(6),
		"a further last chunk":   "0\r\n\r\n",
	} {
		for _, delayed := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", delayed: ", delayed), func(t *testing.T) {
				is := is.New(t)
				f, s := newScriptedFixture(t, direct)
				for i := range 20 {
					pieces := withChunks("0\r\n\r\n"+rest, events4And5)
					if delayed {
						pieces = append(withChunks("0\r\n\r\n", events4And5), rest)
					}
					s.use(script{pieces, keepsOpen})
					got := f.sendAs(context.Background(), fmt.Sprint("id", i), http.MethodPost, "/stream/", "x")
					if got.status == http.StatusOK {
						is.NoErr(got.err)
						is.Equal(got.body, events4And5)
						continue
					}
					is.Equal(got.header.Get("Stamp"), "") // The daemon's own fault.
					// The replica runs each request that reaches it.
					is.True(!s.reached() || !strings.Contains(got.body, `"ran":"no"`))
				}
			})
		}
	}
}
