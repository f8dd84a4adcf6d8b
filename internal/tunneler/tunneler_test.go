package tunneler_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/tracker"
	"pimentorail.example/pimentorail/internal/tunneler"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

func request(c net.Conn, path string, body []byte) (*http.Response, error) {
	q, err := http.NewRequest(http.MethodPost, "http://h"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if err = q.Write(c); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), q)
}

// Bytes were changed, lost or delayed on their way through a peer.
func TestBytesPassUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	c := f.dial(f.tunneler())
	for _, size := range []int{0, 1, 8 << 10, 8<<10 + 1, 300_000} {
		body := bytes.Repeat([]byte("0123456789abcdef\x00\xff"), size/18+1)[:size]
		r, err := request(c, "/echo", body)
		is.NoErr(err)
		got, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.True(bytes.Equal(got, body))
	}
	peer, id := c.Via()
	is.Equal(peer, "n0")
	is.True(strings.HasPrefix(id, "me."))
}

// A replica still worked on a request after its client had left.
func TestACanceledRequestEndsAtTheReplica(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	c := f.dial(f.tunneler())
	r, err := request(c, "/endless", nil)
	is.NoErr(err)
	_, err = io.ReadFull(r.Body, make([]byte, 20))
	is.NoErr(err)
	_ = c.Close()
	select {
	case <-f.gone:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the replica still works on the request")
	}
	for start := time.Now(); f.network.zone[0].service.Active() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Since(start) < time.Second)
	}
}

// A response that ends with its connection looked complete when the peer was lost.
func TestALostPeerIsNoEndOfAResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	u := f.tunneler()
	r, err := request(f.dial(u), "/until-close", nil)
	is.NoErr(err)
	whole, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.Equal(string(whole), "begin end")

	r, err = request(f.dial(u), "/until-close", nil)
	is.NoErr(err)
	_, err = io.ReadFull(r.Body, make([]byte, 6))
	is.NoErr(err)
	f.network.zone[0].kill()
	_, err = io.ReadAll(r.Body)
	is.True(err != nil)
}

// A zone that is cut off as a whole asked only its own daemons.
func TestPeersOfOtherZonesAreAsked(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 6, 3)
	for i, n := range f.network.zone {
		n.cut = i%2 == 0
		n.dialError = syscall.ECONNREFUSED
	}
	u := f.tunneler()
	used := map[string]int{}
	for range 60 {
		c := f.dial(u)
		peer, _ := c.Via()
		used[peer]++
		_ = c.Close()
	}
	is.Equal(len(used), 3) // They share the tunnels.
	for _, n := range used {
		is.True(n < 40)
	}
	is.True(f.network.zone[0].asked < 10) // A peer that is cut off is not asked each time.
}

// The own zone's peers were passed over for others, whose bytes are dear.
func TestPeersOfTheZoneAreAskedFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 2)
	u := f.tunneler()
	for range 20 {
		_ = f.dial(u).Close()
	}
	is.Equal(f.network.elsewhere[0].asked+f.network.elsewhere[1].asked, 0)
}

// A replica that crashed was taken for one behind a cut link, or the other way round.
func TestEndedReplicasAreToldFromCutLinks(t *testing.T) {
	for name, row := range map[string]struct {
		cut   bool
		err   error
		ended bool
	}{
		"reached":                 {false, nil, false},
		"refused":                 {false, syscall.ECONNREFUSED, true},
		"silent":                  {false, syscall.ETIMEDOUT, false},
		"all peers are cut off":   {true, nil, false},
		"an error that says less": {false, errors.New("no route"), false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newMemoryFixture(t, 2, 1)
				for _, n := range append(f.network.zone, f.network.elsewhere...) {
					n.cut, n.dialError = row.cut, row.err
				}
				u := f.tunneler()
				is.Equal(u.Ended(context.Background(), f.replica, reach(true).check), row.ended)
				_, err := u.Dial(context.Background(), f.replica)
				is.Equal(err == nil, row.err == nil && !row.cut)
				// Only peers that tried say something about the replica.
				is.Equal(errors.Is(err, connector.ErrUnreached), row.err != nil)
			})
		})
	}
}

// A peer dialed whatever address it was told, or an earlier start of the replica.
func TestOnlyKnownReplicasAreDialed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	for _, r := range []tracker.Replica{
		{ID: "other", Address: f.replica.Address, StartedMS: 7},
		{ID: "r", Address: f.replica.Address, StartedMS: 6},
	} {
		_, err := f.tunneler().Dial(context.Background(), &r)
		is.True(errors.Is(err, tunneler.ErrNoPeer))
	}
}

// A stopping daemon cut the requests that its peers sent through it.
func TestAStoppingPeerFinishesItsTunnels(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	u := f.tunneler()
	busy, idle := f.dial(u), f.dial(u)
	r, err := request(busy, "/until-close", nil)
	is.NoErr(err)
	s := f.network.zone[0].service
	s.Leave()
	_, err = u.Dial(context.Background(), f.replica)
	is.True(errors.Is(err, tunneler.ErrNoPeer))
	whole, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.Equal(string(whole), "begin end")
	is.True(!busy.Reusable())
	raw, err := idle.SyscallConn()
	is.NoErr(err)
	pending := false
	is.NoErr(raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = n > 0 && err == nil
		return true
	}))
	is.True(pending) // An idle connection shows that it must not be used.
	_ = idle.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.Drain(ctx)
	is.Equal(s.Active(), 0)
}

// A header from another writer brought the daemon down.
func FuzzHeader(f *testing.F) {
	f.Add([]byte(`{"id":"x","replica":"r","started-ms":7}` + "\n"))
	f.Add([]byte("{}\n"))
	f.Add([]byte("\xff\x00"))
	t := tracker.New(tracker.Options{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := tunneler.NewService(t, &node{cut: true}, logger.Start(context.Background(), io.Discard))
		near, far := net.Pipe()
		go (&writer{far, data}).run()
		s.ServeStream(near)
		_ = near.Close()
	})
}

// writer writes to a connection and closes it.
type writer struct {
	conn net.Conn
	data []byte
}

func (w *writer) run() {
	_, _ = w.conn.Write(w.data)
	_ = w.conn.Close()
}
