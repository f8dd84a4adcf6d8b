package server_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/server"
)

// output collects what a daemon writes. Writes block while blocked is not nil and not closed.
type output struct {
	blocked chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.text.String()), "\n")
}

// runOnWrongAddress runs a daemon whose address for readiness no process can listen on, until
// the daemon ends or the context does.
func runOnWrongAddress(ctx context.Context, out, errorOut io.Writer) error {
	store := emulator.NewStore()
	return server.Run(ctx, server.Options{
		Name: "d-1", VM: "d", Zone: "z", Zones: 1, ClientAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:99999", ReadyPath: "/ready",
		Grace: time.Second, RowBytes: 1000, MemoryBytes: 64 << 20, Output: out, ErrorOutput: errorOut,
	}, server.Platform{
		Table: store, Feed: store, Codec: plainCodec{}, CatalogTable: "config", CatalogKey: "all", DecodeCatalog: decodeCatalog,
		ReplicaTable: "replicas", DecodeReplica: decodeReplica,
		Ingress: func(f *forwarder.Forwarder, _ *cataloger.Keeper) http.Handler { return ingress{f} },
	})
}

// TestLinesOfAFailedStartAreWritten guards against the loss of the queued lines, and of the
// reason, when a daemon ends at its start.
func TestLinesOfAFailedStartAreWritten(t *testing.T) {
	is := is.New(t)
	out, errorOut := &output{}, &output{}
	err := runOnWrongAddress(context.Background(), out, errorOut)
	is.True(err != nil)
	lines := out.lines()
	is.True(strings.Contains(lines[0], "server: start name=d-1"))
	is.True(strings.Contains(lines[0], " pid="))
	last := lines[len(lines)-1]
	is.True(strings.Contains(last, "server: exit reason=start-failed vm=d name=d-1 uptime="))
	is.True(strings.Contains(last, "invalid port"))
	is.True(strings.HasSuffix(errorOut.lines()[0], last[len("15:04:05.000"):]))
}

// TestOutputThatBlocksDoesNotHoldUpTheExit guards against a process that never ends because
// nobody reads its output.
func TestOutputThatBlocksDoesNotHoldUpTheExit(t *testing.T) {
	is := is.New(t)
	blocked := make(chan struct{})
	defer close(blocked)
	out := &output{blocked: blocked}
	began := time.Now()
	is.True(runOnWrongAddress(context.Background(), out, out) != nil)
	is.True(time.Since(began) < 5*time.Second)
}
