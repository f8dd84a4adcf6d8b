package relayer_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/relayer"
	"pimentorail.example/pimentorail/internal/storer"
)

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// successorLines starts another process on VM a and returns its log lines.
func (z *zone) successorLines(process string) *lines {
	out := &lines{}
	a := &storeAccess{store: z.store, queues: z.queues}
	g := storer.NewGuard(a, a, storer.Limits{
		MinTimeout: 100 * time.Millisecond, MaxTimeout: time.Second, OutageAfter: 300 * time.Millisecond, ProbeInterval: 200 * time.Millisecond, RetryBackoff: 20 * time.Millisecond,
	})
	x := relayer.New(g, logger.Start(z.ctx, out), relayer.Options{
		VM: "a", Process: process, Zone: "z", Address: "a", Dial: networkDialer{z.network, "a"}.dial, Listen: z.network.listen,
	})
	x.Start(z.ctx)
	time.Sleep(time.Second)
	return out
}

// TestAKilledPredecessorIsLogged guards against a process that ended by itself and that
// nothing tells apart from one that was stopped.
func TestAKilledPredecessorIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZoneWith(t, emulator.NewStore(), "a")
		defer z.stop()
		z.kills[0]()
		out := z.successorLines("a-2")
		is.Equal(out.count("server: predecessor ended without a planned stop name=a-process renewed=2000-01-01T00:00:00Z"), 1)
	})
}

// TestAStoppedPredecessorIsNotLogged guards against a false report after a planned stop.
func TestAStoppedPredecessorIsNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZoneWith(t, emulator.NewStore(), "a")
		defer z.stop()
		z.relayers[0].Leave(context.Background())
		z.kills[0]()
		is.Equal(z.successorLines("a-2").count("predecessor"), 0)
	})
}
