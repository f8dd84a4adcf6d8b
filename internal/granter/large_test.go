package granter_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/granter"
)

// messageBytes returns the size of a message between daemons.
func messageBytes(v any) int {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return 0
	}
	return b.Len()
}

// TestLargeTurnsAreReadFromTheStore guards against messages between daemons that carry whole
// histories of any size: they hold up all other calls on the connection, and several of them
// exceed the memory of a small VM.
func TestLargeTurnsAreReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(3, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.stop()
		largest := 0
		z.onMessage = func(v any) { largest = max(largest, messageBytes(v)) }
		parent, remote := "", 0
		var want []byte
		for i, n := range []int{100, 4 << 20, 100, 1 << 20, 1 << 20, 100} {
			turn := newTurn(fmt.Sprint(i), parent, 100*maxTurnTokens)
			g, err := z.daemons[i%3].granter.Open(context.Background(), turn)
			is.NoErr(err)
			if g.Coordinator() != "" {
				remote++
			}
			is.True(bytes.Equal(bytes.Join(g.Chain().Texts(), nil), want))
			text := bytes.Repeat([]byte{byte('a' + i)}, n)
			is.NoErr(g.Record(context.Background(), text))
			g.Close(10)
			parent, want = turn.ID, append(want, text...)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(remote >= 3)
		is.True(largest < 5<<19) // 2.5 MB
	})
}

// TestACallerOfThePreviousBuildGetsWholeHistories guards against a reply that leaves out a
// history, which a caller that does not know of it would take for an empty one.
func TestACallerOfThePreviousBuildGetsWholeHistories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(1, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.stop()
		d := z.daemons[0]
		g, err := d.granter.Open(context.Background(), newTurn("0", "", 2*maxTurnTokens))
		is.NoErr(err)
		is.NoErr(g.Record(context.Background(), make([]byte, 4<<20)))
		g.Close(0)
		for i := range 4 {
			var reply granter.OpenReply
			is.NoErr(d.service.Open(granter.OpenRequest{ID: fmt.Sprint("g", i), Turn: newTurn("1", "0", 2*maxTurnTokens), Left: time.Second}, &reply))
			is.Equal(reply.Outcome, granter.Refused) // The caller opens the turn itself, and no tokens stay reserved.
			is.Equal(len(reply.Turns), 0)
		}
		var reply granter.OpenReply
		is.NoErr(d.service.Open(granter.OpenRequest{ID: "h", Turn: newTurn("1", "0", 2*maxTurnTokens), Left: time.Second, ReadsHistory: true}, &reply))
		is.Equal(reply.Outcome, granter.Granted)
		is.True(reply.HistoryOmitted)
	})
}
