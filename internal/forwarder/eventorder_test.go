package forwarder_test

import (
	"testing"
)

// eventOrderRows are streams whose ids do not increase, after event 3 if they are taken up.
func eventOrderRows() []responseRow {
	again := scriptedEvent(5) + scriptedEvent(6)
	return []responseRow{
		{name: "an id comes twice", script: script{withChunks("0\r\n\r\n", events4And5, again), keepsOpen}, status: 200, body: events4And5, cut: true},
		{name: "ids begin again", script: script{withChunks("0\r\n\r\n", events4And5, events4And5), keepsOpen}, status: 200, body: events4And5, cut: true},
		{name: "ids begin again until the end", script: script{untilClose(events4And5, events4And5), closes}, status: 200, body: events4And5, cut: true},
		{name: "ids go back", script: script{withChunks("0\r\n\r\n", events4And5, scriptedEvent(1)), keepsOpen}, status: 200, body: events4And5, cut: true},
		{name: "ids of more digits", script: script{withChunks("0\r\n\r\n", scriptedEvent(9), scriptedEvent(10)), keepsOpen}, status: 200, body: scriptedEvent(9) + scriptedEvent(10)},
		{name: "events without an id", script: script{withChunks("0\r\n\r\n", "data: a\n\n", "data: a\n\n"), keepsOpen}, status: 200, body: "data: a\n\ndata: a\n\n"},
		{name: "ids that are no numbers", script: script{withChunks("0\r\n\r\n", "id: b\ndata: a\n\n", "id: a\ndata: a\n\n"), keepsOpen}, status: 200, body: "id: b\ndata: a\n\nid: a\ndata: a\n\n"},
	}
}

// TestEventsComeOnceAndInOrder guards against events of a faulty replica that come twice, or of two
// runs in one stream.
func TestEventsComeOnceAndInOrder(t *testing.T) { checkRows(t, eventOrderRows()) }

// TestAStreamGoesOnAfterTheLastEvent guards against a replica that begins a stream anew which a
// client takes up: the client has some events already.
func TestAStreamGoesOnAfterTheLastEvent(t *testing.T) {
	for w := direct; w <= resumedThroughPeer; w++ {
		for _, first := range []int{0, 2, 3} {
			row := responseRow{script: script{withChunks("0\r\n\r\n", scriptedEvent(first), scriptedEvent(4)), keepsOpen}, status: 200, body: scriptedEvent(first) + scriptedEvent(4)}
			if w.resumes() {
				row.status, row.body = 502, ""
			}
			f, s := newScriptedFixture(t, w)
			row.check(t, f, s, "one", "/stream/", w.header()...)
		}
	}
}
