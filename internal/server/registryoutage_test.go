package server_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/server"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/tracker"
)

// askedPeers confirm nothing and record for which time they were asked.
type askedPeers struct {
	start time.Time
	asked [][2]time.Duration
	lost  int
}

func (*askedPeers) RegistryRead() {}

func (p *askedPeers) RegistryLost() { p.lost++ }

func (p *askedPeers) ConfirmRegistry(_ context.Context, begin, end time.Time) bool {
	p.asked = append(p.asked, [2]time.Duration{begin.Sub(p.start), end.Sub(p.start)})
	return false
}

// Peers were asked about the second of two outages only, while replicas whose rows had been
// missing since the first were undecided; or about a time in which nothing was known.
func TestPeersAreAskedAboutAllOfTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := &askedPeers{start: time.Now()}
		g := server.NewComparingRegistrySink(tracker.New(tracker.Options{OutageGrace: server.OutageGrace}), decodeReplica, logger.Start(ctx, io.Discard), p)
		fail := func(d time.Duration) {
			time.Sleep(time.Second)
			g.StoreUnavailable(storer.ErrUnavailable)
			time.Sleep(d - time.Second)
			g.StoreRecovered()
			g.Update(nil, 1)
			synctest.Wait()
		}
		fail(2 * time.Second) // Before the first read.
		is.Equal(len(p.asked), 0)
		time.Sleep(8 * time.Second)
		g.Update(nil, 1) // At 10 s.
		fail(5 * time.Second)
		fail(2 * time.Second) // Within the grace period.
		time.Sleep(13 * time.Second)
		g.Update(nil, 1) // At 30 s.
		fail(2 * time.Second)
		is.Equal(p.asked, [][2]time.Duration{{10 * time.Second, 15 * time.Second}, {10 * time.Second, 17 * time.Second}, {30 * time.Second, 32 * time.Second}})
		is.Equal(p.lost, 4)
	})
}
