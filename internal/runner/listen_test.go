package runner_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/runner"
)

// TestADaemonWaitsForItsPorts guards against a start that fails because another process, such
// as a predecessor that drains, still has a port.
func TestADaemonWaitsForItsPorts(t *testing.T) {
	for _, row := range []struct{ name string }{{"callers"}, {"daemons"}} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := runner.Settings{HTTP: l.Addr().String(), RPC: freeAddress(t), Platform: freeAddress(t), Secret: "a-secret-for-tests", Partitions: 8}
			if row.name == "daemons" {
				s.HTTP, s.RPC = s.RPC, s.HTTP
			}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			err = runner.New(s).Listen(ctx)
			is.True(errors.Is(err, context.Canceled)) // The stop ended the wait.
			time.AfterFunc(300*time.Millisecond, func() { _ = l.Close() })
			is.NoErr(runner.New(s).Listen(context.Background()))
		})
	}
}

// TestAWrongAddressEndsTheStart guards against a start that waits for an address that can
// never be listened at.
func TestAWrongAddressEndsTheStart(t *testing.T) {
	is := is.New(t)
	err := runner.New(runner.Settings{HTTP: freeAddress(t), RPC: "127.0.0.1", Platform: freeAddress(t), Partitions: 8}).Listen(context.Background())
	is.True(err != nil)
}
