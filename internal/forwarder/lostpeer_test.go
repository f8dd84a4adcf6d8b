package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// peerLifetime is how long a peer lives after the request has reached the replica.
const peerLifetime = 50 * time.Millisecond

// peerLoss kills a peer after a request has reached the replica.
type peerLoss struct{ replica *scriptedReplica }

func (l *peerLoss) run() {
	for !l.replica.reached() {
		time.Sleep(pieceDelay)
	}
	time.Sleep(peerLifetime)
	l.replica.peer.kill()
}

// TestAStreamThroughALostPeerDoesNotLookComplete guards against a stream or a body whose end is that
// of the connection to a peer: the replica has not ended it.
func TestAStreamThroughALostPeerDoesNotLookComplete(t *testing.T) {
	rows := []responseRow{
		{name: "a stream without a length", script: script{untilClose(events4And5), keepsOpen}, status: 200, body: events4And5, cut: true},
		{name: "a stream in chunks", script: script{withChunks("", events4And5), keepsOpen}, status: 200, body: events4And5, cut: true},
		{name: "a body without a length", script: script{[]string{bodyHead("200 OK", ""), "{}"}, keepsOpen}, status: 502},
		{name: "an error without a length", script: script{[]string{bodyHead("500 Internal Server Error", ""), "broken"}, keepsOpen}, status: 502},
		{name: "a part of a head", script: script{[]string{"HTTP/1.1 500 Inter"}, keepsOpen}, status: 502},
	}
	for _, w := range []way{throughPeer, resumedThroughPeer} {
		for _, row := range rows {
			t.Run(fmt.Sprint(w, "/", row.name), func(t *testing.T) {
				f, s := newScriptedFixture(t, w)
				s.use(row.script)
				go (&peerLoss{s}).run()
				row.check(t, f, s, "one", "/stream/", w.header()...)
			})
		}
	}
}

// TestAnEncodedStreamIsNoStream guards against bytes that are no events because they are encoded.
func TestAnEncodedStreamIsNoStream(t *testing.T) {
	pieces := withChunks("0\r\n\r\n", "\x1f\x8b\x08\x00\x00\x00\n\n")
	row := responseRow{script: script{pieces, keepsOpen}, status: http.StatusBadGateway}
	f, s := newScriptedFixture(t, direct)
	row.check(t, f, s, "one", "/turn/")
}
