package server_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// throughPeer is a request to a daemon that reaches replicas through peers only.
type throughPeer struct {
	daemon *daemon
	status chan int
}

func (r *throughPeer) run() {
	status, _ := get("http://" + r.daemon.front + "/slow/")
	r.status <- status
}

// TestARequestThroughAStoppingPeer guards against a request that is cut off because the peer
// through which it runs is stopped: it has all of the peer's grace time of 3 s, and is answered
// if that is too short. It may not be repeated.
func TestARequestThroughAStoppingPeer(t *testing.T) {
	rows := []struct {
		name   string
		work   time.Duration
		status int
	}{
		{"ends within the grace time", 2400 * time.Millisecond, http.StatusOK},
		{"lasts longer", 5 * time.Second, http.StatusBadGateway},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			z := newStrandedZone(t, 2, 1)
			z.waitForPeers()
			z.cutOff(0, refused)
			z.served(0, 3) // The first requests show that the links are cut.
			r := &throughPeer{z.daemons[0], make(chan int, 1)}
			go r.run()
			<-z.replicas[0].arrived
			z.daemons[1].cancel()
			time.AfterFunc(row.work, func() { close(z.replicas[0].release) })
			is.Equal(<-r.status, row.status)
			is.NoErr(z.daemons[1].stop())
		})
	}
}

// peerClient sends requests to a daemon, one after the other, and counts those that were not served.
type peerClient struct {
	zone   *strandedZone
	until  time.Time
	done   *sync.WaitGroup
	served int
	failed int
}

func (c *peerClient) run() {
	defer c.done.Done()
	for time.Now().Before(c.until) {
		if c.zone.daemons[0].getWithin(time.Second) == http.StatusOK {
			c.served++
		} else {
			c.failed++
		}
	}
}

// TestAStoppingPeerGetsNothingMore guards against requests that go on to a peer that stops, on
// tunnels that are open, and that are cut off when it ends. Another peer reaches the replicas.
func TestAStoppingPeerGetsNothingMore(t *testing.T) {
	is := is.New(t)
	z := newStrandedZone(t, 3, 3)
	z.waitForPeers()
	z.cutOff(0, refused)
	z.served(0, 3)
	var done sync.WaitGroup
	var clients []*peerClient
	for range 8 {
		c := &peerClient{zone: z, until: time.Now().Add(5 * time.Second), done: &done}
		clients = append(clients, c)
		done.Add(1)
		go c.run()
	}
	time.Sleep(500 * time.Millisecond)
	is.NoErr(z.daemons[1].stop())
	done.Wait()
	served, failed := 0, 0
	for _, c := range clients {
		served, failed = served+c.served, failed+c.failed
	}
	t.Logf("%d requests served, %d not", served, failed)
	is.True(served > 100)
	is.Equal(failed, 0)
}
