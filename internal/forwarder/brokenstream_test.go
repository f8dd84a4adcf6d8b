package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxSendings bounds how often a request is sent that reaches no replica, and resendDelay is the
// time between two of them.
const (
	maxSendings = 8
	resendDelay = 200 * time.Millisecond
)

// streamHead is the head of a stream whose body ends with the connection.
const streamHead = "HTTP/1.1 200 OK\r\nId: $ID\r\nStamp: 7\r\nContent-Type: text/event-stream\r\n"

// errorResponse is a replica's complete response with an error.
const errorResponse = "HTTP/1.1 500 Internal Server Error\r\nId: $ID\r\nStamp: 9\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nbroken"

// scriptedEvent returns an event. The streams of scripted replicas go on after event 3.
func scriptedEvent(id int) string { return fmt.Sprintf("id: %d\ndata: word%d\n\n", id, id) }

// events4And5 are the first events of scripted replicas.
var events4And5 = scriptedEvent(4) + scriptedEvent(5)

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// withChunks returns the head of a stream in chunks, each of its chunks, and the rest.
func withChunks(rest string, chunks ...string) []string {
	list := []string{streamHead + "Transfer-Encoding: chunked\r\n\r\n"}
	for _, c := range chunks {
		list = append(list, chunk(c))
	}
	return append(list, rest)
}

// withLength returns a stream that names a length.
func withLength(length int, body string) []string {
	return []string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", streamHead, length), body}
}

// untilClose returns a stream without a length.
func untilClose(pieces ...string) []string {
	return append([]string{streamHead + "\r\n"}, pieces...)
}

// errorWith returns an error with a status and further header lines.
func errorWith(status, lines string) []string {
	return []string{"HTTP/1.1 " + status + "\r\nId: $ID\r\nStamp: 9\r\n" + lines + "Content-Length: 6\r\n\r\nbroken"}
}

// responseRow is a replica's response and what the client gets of it.
type responseRow struct {
	name   string
	script script
	// status and body are those of the client's response; the body of a fault is not compared.
	status int
	body   string
	// cut is set if the client's response must not look complete.
	cut bool
}

// isFault reports whether the client's response is the daemon's own.
func (r *responseRow) isFault() bool {
	return r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable && r.body == ""
}

// check sends a request, and compares the client's response. On a busy machine a peer may not
// answer in time, and the request reaches no replica; it is sent again then.
func (r *responseRow) check(t *testing.T, f *fixture, s *scriptedReplica, id, path string, header ...string) {
	t.Helper()
	is := is.New(t)
	s.use(r.script)
	var got response
	for range maxSendings {
		if got = f.sendAs(context.Background(), id, http.MethodPost, path, "x", header...); s.reached() {
			break
		}
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(got.body, `"ran":"no"`))
		time.Sleep(resendDelay)
	}
	is.True(s.reached())
	r.compare(t, got)
}

// compare compares the client's response.
func (r *responseRow) compare(t *testing.T, got response) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.status, r.status)
	is.Equal(got.err != nil, r.cut) // A response that is not complete must not look so.
	if r.isFault() {
		is.True(strings.Contains(got.body, `"code"`))
		is.Equal(got.header.Get("Stamp"), "")
		return
	}
	is.Equal(got.body, r.body)
	is.True(got.header.Get("Stamp") != "")
}

// errorRows are errors of a replica to which a stream was sent.
func errorRows() []responseRow {
	var rows []responseRow
	for _, status := range []string{"500 Internal Server Error", "503 Service Unavailable", "404 Not Found", "429 Too Many Requests", "400 Bad Request"} {
		code := 0
		_, _ = fmt.Sscan(status, &code)
		for _, kind := range []string{"text/event-stream", "text/plain", ""} {
			lines := ""
			if kind != "" {
				lines = "Content-Type: " + kind + "\r\n"
			}
			whole := errorWith(status, lines)[0]
			rows = append(rows,
				responseRow{name: status + " of type " + kind, script: script{[]string{whole}, keepsOpen}, status: code, body: "broken"},
				responseRow{name: status + " in pieces of type " + kind, script: script{strings.SplitAfter(whole, "o"), closes}, status: code, body: "broken"},
				responseRow{name: status + " that breaks in its body of type " + kind, script: script{[]string{whole[:len(whole)-2]}, closes}, status: 502},
			)
		}
	}
	return append(rows,
		responseRow{name: "421", script: script{errorWith("421 Misdirected Request", ""), keepsOpen}, status: 503},
		responseRow{name: "a head that breaks", script: script{[]string{errorResponse[:40]}, closes}, status: 502},
		responseRow{name: "a head that is reset", script: script{[]string{errorResponse[:40]}, resets}, status: 502},
		responseRow{name: "a status line only", script: script{[]string{"HTTP/1.1 500 Internal Server Error\r\n\r\n"}, closes}, status: 502},
		responseRow{name: "no id", script: script{[]string{strings.Replace(errorResponse, "Id: $ID\r\n", "", 1)}, closes}, status: 502},
		responseRow{name: "another id", script: script{[]string{strings.Replace(errorResponse, "$ID", "another", 1)}, closes}, status: 502},
		responseRow{name: "another id, then a stream", script: script{append([]string{strings.Replace(errorResponse, "$ID", "another", 1)}, withChunks("0\r\n\r\n", events4And5)...), keepsOpen}, status: 200, body: events4And5},
		responseRow{name: "no HTTP", script: script{[]string{"internal error\n"}, closes}, status: 502},
		responseRow{name: "heads of 1xx before it", script: script{[]string{"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nStamp: 1\r\n\r\n", errorResponse}, keepsOpen}, status: 500, body: "broken"},
	)
}

// streamRows are streams of a replica, most of which break.
func streamRows() []responseRow {
	length := len(events4And5)
	return []responseRow{
		{name: "a whole stream in chunks", script: script{withChunks("0\r\n\r\n", scriptedEvent(4), scriptedEvent(5)), keepsOpen}, status: 200, body: events4And5},
		{name: "a whole stream, cut anywhere", script: script{strings.SplitAfter(strings.Join(withChunks("0\r\n\r\n", scriptedEvent(4), scriptedEvent(5)), ""), "d"), keepsOpen}, status: 200, body: events4And5},
		{name: "a whole stream with a length", script: script{withLength(length, events4And5), keepsOpen}, status: 200, body: events4And5},
		{name: "a whole stream until the end", script: script{untilClose(events4And5), closes}, status: 200, body: events4And5},
		{name: "heads of 1xx before it", script: script{append([]string{"HTTP/1.1 102 Processing\r\n\r\n"}, withChunks("0\r\n\r\n", events4And5)...), keepsOpen}, status: 200, body: events4And5},
		{name: "a trailer", script: script{withChunks("0\r\nError: broken\r\n\r\n", events4And5), keepsOpen}, status: 200, body: events4And5},
		{name: "a comment only", script: script{withChunks("0\r\n\r\n", ": wait\n\n"), keepsOpen}, status: 200, body: ": wait\n\n"},
		{name: "a retry line only", script: script{withChunks("0\r\n\r\n", "retry: 10\n\n"), keepsOpen}, status: 200, body: "retry: 10\n\n"},
		{name: "a version line", script: script{withChunks("0\r\n\r\n", "pimentorail-weight-versions: 4\n"+events4And5), keepsOpen}, status: 200, body: "pimentorail-weight-versions: 4\n" + events4And5},
		{name: "a byte order mark", script: script{withChunks("0\r\n\r\n", "\ufeff"+events4And5), keepsOpen}, status: 200, body: "\ufeff" + events4And5},
		{name: "a head of an error as data", script: script{withChunks("0\r\n\r\n", "id: 4\ndata: HTTP/1.1 500 Internal Server Error\n\n"), keepsOpen}, status: 200, body: "id: 4\ndata: HTTP/1.1 500 Internal Server Error\n\n"},
		{name: "nothing", script: script{withChunks("0\r\n\r\n"), keepsOpen}, status: 200},

		{name: "no last chunk", script: script{withChunks("", events4And5), closes}, status: 200, body: events4And5, cut: true},
		{name: "no last chunk, reset", script: script{withChunks("", events4And5), resets}, status: 200, body: events4And5, cut: true},
		{name: "no end of the last chunk", script: script{withChunks("0\r\n", events4And5), closes}, status: 200, body: events4And5, cut: true},
		{name: "inside the CRLF of a chunk", script: script{withChunks(strings.TrimSuffix(chunk(scriptedEvent(5)), "\n"), scriptedEvent(4)), closes}, status: 200, body: events4And5, cut: true},
		{name: "inside the size of a chunk", script: script{withChunks("1", events4And5), closes}, status: 200, body: events4And5, cut: true},
		{name: "a last chunk inside an event", script: script{withChunks("0\r\n\r\n", events4And5, "id: 6\nda"), keepsOpen}, status: 200, body: events4And5, cut: true},
		{name: "a last chunk before the empty line", script: script{withChunks("0\r\n\r\n", events4And5, "id: 6\ndata: word6\n"), keepsOpen}, status: 200, body: events4And5, cut: true},
		{name: "the end inside an event", script: script{untilClose(events4And5, "id: 6\nda"), closes}, status: 200, body: events4And5, cut: true},
		{name: "a reset after an event", script: script{untilClose(events4And5), resets}, status: 200, body: events4And5, cut: true},
		{name: "a length that is too long", script: script{withLength(length+100, events4And5), closes}, status: 200, body: events4And5, cut: true},
		{name: "a length that ends inside an event", script: script{withLength(length-3, events4And5), closes}, status: 200, body: scriptedEvent(4), cut: true},
		{name: "a length that is too short", script: script{withLength(length, events4And5+scriptedEvent(6)), closes}, status: 200, body: events4And5},
		{name: "a break in the first event", script: script{withChunks("", "id: 4\nda"), closes}, status: 502},

		{name: "a response in place of a chunk", script: script{withChunks(errorResponse, events4And5), keepsOpen}, status: 200, body: events4And5, cut: true},
		{name: "a response after the last chunk", script: script{withChunks("0\r\n\r\n"+errorResponse, events4And5), keepsOpen}, status: 200, body: events4And5},
		{name: "a response after the length", script: script{withLength(length, events4And5+errorResponse), keepsOpen}, status: 200, body: events4And5},
	}
}

// checkRows checks each response on each way, and at a turn that is stored.
func checkRows(t *testing.T, rows []responseRow) {
	t.Helper()
	for w := direct; w <= resumedThroughPeer; w++ {
		for _, row := range rows {
			t.Run(w.String()+"/"+row.name, func(t *testing.T) {
				f, s := newScriptedFixture(t, w)
				row.check(t, f, s, "one", "/stream/", w.header()...)
			})
		}
	}
	for _, row := range rows {
		t.Run("turn/"+row.name, func(t *testing.T) {
			is := is.New(t)
			f, s := newScriptedFixture(t, direct)
			row.check(t, f, s, "one", "/turn/")
			s.use(script{withChunks("0\r\n\r\n", events4And5), keepsOpen})
			next := f.send(http.MethodPost, "/turn/", "y", "Parent", "one")
			// A turn is stored only if its client's response was complete.
			is.Equal(next.status != http.StatusNotFound, row.status == http.StatusOK && !row.cut)
		})
	}
}

// TestAnErrorOnTheWayOfAStream guards against an error of a replica that reaches the client as a
// part of a stream, as another status, or as complete although it broke off.
func TestAnErrorOnTheWayOfAStream(t *testing.T) { checkRows(t, errorRows()) }

// TestABrokenStreamDoesNotLookComplete guards against a stream that broke off and ends at the
// client as if it were complete, with a part of an event, or with bytes of another response.
func TestABrokenStreamDoesNotLookComplete(t *testing.T) { checkRows(t, streamRows()) }

// errorTextRows are streams in which the text of an error stands in place of an event.
func errorTextRows() []responseRow {
	var rows []responseRow
	for name, text := range map[string]string{
		"a response":             errorResponse,
		"a response until close": "HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/event-stream\r\n\r\n" + scriptedEvent(6),
		"a line of text":         "upstream connect error or disconnect\n\n",
		"JSON":                   `{"error":"out of memory"}` + "\n\n",
		"HTML":                   "<html><h1>502 Bad Gateway</h1></html>\n\n",
	} {
		rows = append(rows,
			responseRow{name: name + " in a stream until the end", script: script{untilClose(events4And5, text), closes}, status: 200, body: events4And5, cut: true},
			responseRow{name: name + " in a chunk", script: script{withChunks("0\r\n\r\n", events4And5, text), keepsOpen}, status: 200, body: events4And5, cut: true},
			responseRow{name: name + " inside an event", script: script{withChunks("0\r\n\r\n", events4And5, "id: 6\n"+text), keepsOpen}, status: 200, body: events4And5, cut: true},
			responseRow{name: name + " in place of the first event", script: script{withChunks("0\r\n\r\n", text, events4And5), keepsOpen}, status: 502},
		)
	}
	return rows
}

// TestTheTextOfAnErrorIsNoEvent guards against a stream without a length, or of a faulty replica,
// in which the text of an error reaches the client in place of an event.
func TestTheTextOfAnErrorIsNoEvent(t *testing.T) { checkRows(t, errorTextRows()) }
