package relayer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/relayer"
)

// busyPort is a port that is not free until it is closed.
type busyPort struct {
	network *network
	free    chan struct{}
}

func (b *busyPort) listen(ctx context.Context, address string) (net.Listener, error) {
	select {
	case <-b.free:
		return b.network.listen(ctx, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startWaiting starts another process of a VM of the zone, whose port for peers is not free.
func (z *zone) startWaiting(ctx context.Context, name string) (*relayer.Relayer, *busyPort) {
	p := &busyPort{network: z.network, free: make(chan struct{})}
	x := relayer.New(z.guards[0], logger.Start(z.ctx, io.Discard), relayer.Options{
		VM: name, Process: name + "-successor", Zone: "z", Address: name, Dial: networkDialer{z.network, name}.dial, Listen: p.listen,
	})
	x.Start(ctx)
	return x, p
}

// TestAProcessThatWaitsForItsPortLeavesTheMemberRowAlone guards against a successor that is
// stopped while its predecessor has the port, and removes the predecessor's member row.
func TestAProcessThatWaitsForItsPortLeavesTheMemberRowAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		x, _ := z.startWaiting(z.ctx, "c")
		time.Sleep(time.Second)
		x.Leave(context.Background())
		row, err := z.store.Get(context.Background(), "members-z/peers/c")
		is.NoErr(err)
		is.True(row.Version > 0)
	})
}

// TestADaemonJoinsOnceItsPortIsFree guards against a daemon without peers for good, because
// its port was held when it started.
func TestADaemonJoinsOnceItsPortIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		x, p := z.startWaiting(z.ctx, "new")
		time.Sleep(time.Minute)
		is.Equal(z.relayers[0].MemberCount(), 3) // A daemon that peers can't reach is no member.
		close(p.free)
		time.Sleep(time.Second)
		is.Equal(z.relayers[0].MemberCount(), 4)
		is.Equal(x.MemberCount(), 4)
	})
}
