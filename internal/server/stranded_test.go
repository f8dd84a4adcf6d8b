package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/server"
	"pimentorail.example/pimentorail/internal/tracker"
)

// cut is how the link of one daemon to one replica fails.
type cut int

const (
	// refused connections are reset at once; those that are open stay.
	refused cut = iota
	// hanging connections are never established.
	hanging
)

// link is the way of one daemon to one replica, which can be cut.
type link struct {
	address string
	proxy   net.Listener
	target  string

	mu    sync.Mutex
	conns []net.Conn
	isCut bool
}

func newLink(t *testing.T, ip, target string) *link {
	t.Helper()
	l := &link{target: target}
	var err error
	if l.proxy, err = net.Listen("tcp", ip+":0"); err != nil {
		t.Fatal(err)
	}
	l.address = l.proxy.Addr().String()
	t.Cleanup(func() { _ = l.proxy.Close() })
	go l.run(l.proxy)
	return l
}

func (l *link) run(proxy net.Listener) {
	for {
		c, err := proxy.Accept()
		if err != nil {
			return
		}
		r, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, c, r)
		l.mu.Unlock()
		go (&linkCopy{c, r}).run()
		go (&linkCopy{r, c}).run()
	}
}

// linkCopy copies one direction of a connection.
type linkCopy struct{ to, from net.Conn }

func (c *linkCopy) run() {
	_, _ = io.Copy(c.to, c.from)
	_ = c.to.Close()
}

// cut makes new connections fail, and closes the open ones.
func (l *link) cut(t *testing.T, how cut) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut {
		return
	}
	l.isCut = true
	_ = l.proxy.Close()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
	if how == hanging {
		l.listenWithFullBacklog(t)
	}
}

// restore accepts connections again.
func (l *link) restore(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCut {
		return
	}
	proxy, err := net.Listen("tcp", l.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	l.isCut, l.proxy = false, proxy
	go l.run(proxy)
}

// listenWithFullBacklog listens at the link's address, so that the kernel drops the packets
// that open further connections.
func (l *link) listenWithFullBacklog(t *testing.T) {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp4", l.address)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	sa := &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, sa)
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if c, err := net.DialTimeout("tcp", l.address, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
}

// strandedZone is a zone of daemons with links of their own to the same replicas.
type strandedZone struct {
	t        *testing.T
	store    *emulator.Store
	replicas []*replica
	daemons  []*daemon
	links    [][]*link
	// stores are the accesses of the daemons to the store.
	stores []*storeAccess
	// number differs between the zones of a test process.
	number int
}

var zones atomic.Int64

func newStrandedZone(t *testing.T, daemons, replicas int) *strandedZone {
	t.Helper()
	return newStrandedZoneWith(t, daemons, replicas, func(name string) *replica { return newReplica(t, name) })
}

// newStrandedZoneWith is newStrandedZone with replicas of its own kind.
func newStrandedZoneWith(t *testing.T, daemons, replicas int, newReplica func(name string) *replica) *strandedZone {
	t.Helper()
	z := &strandedZone{t: t, store: emulator.NewStore(), number: int(zones.Add(1))}
	for i := range replicas {
		r := newReplica(string(rune('a' + i)))
		t.Cleanup(r.Close)
		z.replicas = append(z.replicas, r)
	}
	for i := range daemons {
		z.start(i)
	}
	d := z.daemons[0]
	d.put("config//all", "1 s")
	for i, r := range z.replicas {
		d.register(string(rune('a'+i)), "s", r)
	}
	for _, d := range z.daemons {
		d.waitUntilReady()
	}
	return z
}

// start starts daemon i, which sees each replica at the address of its own link.
func (z *strandedZone) start(i int) {
	z.t.Helper()
	byTarget := map[string]*link{}
	var links []*link
	for _, r := range z.replicas {
		l := newLink(z.t, z.ip(i), strings.TrimPrefix(r.URL, "http://"))
		byTarget[l.target] = l
		links = append(links, l)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{t: z.t, store: z.store, front: z.ip(i) + ":7001", ready: z.ip(i) + ":7002", cancel: cancel, ended: make(chan error, 1)}
	name := string(rune('A' + i))
	access := &storeAccess{Store: z.store}
	z.stores = append(z.stores, access)
	go d.run(ctx, server.Options{
		Name: name + "-1", VM: name, Zone: "z", Zones: 1, ClientAddress: d.front, ReadyAddress: d.ready, PeerAddress: z.ip(i) + ":7003", ReadyPath: "/ready",
		Grace: 3 * time.Second, RowBytes: 1000, MemoryBytes: 64 << 20, Output: io.Discard,
	}, server.Platform{
		Table: access, Feed: access, Codec: plainCodec{}, CatalogTable: "config", CatalogKey: "all", DecodeCatalog: decodeCatalog,
		ReplicaTable: "replicas", DecodeReplica: func(_ string, value []byte) (*tracker.Replica, error) {
			var r tracker.Replica
			err := json.Unmarshal(value, &r)
			if l := byTarget[r.Address]; l != nil {
				r.Address = l.address
			}
			return &r, err
		},
		Ingress: func(f *forwarder.Forwarder, _ *cataloger.Keeper) http.Handler { return ingress{f} },
	})
	z.t.Cleanup(func() { _ = d.stop() })
	z.daemons = append(z.daemons, d)
	z.links = append(z.links, links)
}

// ip returns the address of a daemon and its links. No other process uses it, so that its
// ports are free, also while a link is cut.
func (z *strandedZone) ip(daemon int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&0x7f, pid&0xff, (10+4*z.number+daemon)&0xff)
}

func (d *daemon) waitUntilReady() {
	d.t.Helper()
	for range 500 {
		if status, _ := get("http://" + d.ready + "/ready"); status == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Fatal("the daemon is not ready")
}

// waitForPeers waits until the daemons know each other.
func (z *strandedZone) waitForPeers() {
	z.t.Helper()
	for range 500 {
		rows, err := z.store.Scan(context.Background(), "members-z/peers/", "", 10)
		if err == nil && len(rows) == len(z.daemons) {
			time.Sleep(200 * time.Millisecond) // Each announces itself to the others.
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	z.t.Fatal("the daemons have no member rows")
}

// cutOff cuts the links of a daemon to all replicas.
func (z *strandedZone) cutOff(daemon int, how cut) {
	z.t.Helper()
	for _, l := range z.links[daemon] {
		l.cut(z.t, how)
	}
}

// getWithin returns the status of a response that arrives in time, or zero.
func (d *daemon) getWithin(timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.front+"/", nil)
	if err != nil {
		d.t.Fatal(err)
	}
	q.Header.Set("Patience", timeout.String())
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

// served sends requests to a daemon and returns how many were served within a second each.
func (z *strandedZone) served(daemon, requests int) int {
	n := 0
	for range requests {
		if z.daemons[daemon].getWithin(time.Second) == http.StatusOK {
			n++
		}
	}
	return n
}

// A daemon that lost its links to all replicas refused its callers, though its peers reached
// the replicas and it reached its peers.
func TestADaemonCutOffFromAllReplicasServes(t *testing.T) {
	for name, how := range map[string]cut{"refused": refused, "hanging": hanging} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newStrandedZone(t, 3, 3)
			z.waitForPeers()
			is.Equal(z.served(0, 5), 5)
			z.cutOff(0, how)
			z.served(0, 3) // The first requests show that the links are cut.
			is.Equal(z.served(0, 20), 20)
			is.Equal(z.served(1, 5), 5) // The others are served as before.
		})
	}
}

// cutRequest is a request that is at a replica when the link is cut.
type cutRequest struct{ zone *strandedZone }

func (r *cutRequest) run() { _, _ = get("http://" + r.zone.daemons[0].front + "/slow/") }

// A daemon whose links were cut took the replicas for crashed, and had the requests that were
// there refused everywhere.
func TestACutLinkCondemnsNoRequest(t *testing.T) {
	is := is.New(t)
	z := newStrandedZone(t, 2, 3)
	z.waitForPeers()
	for _, r := range z.replicas {
		for range cap(r.arrived) / 4 {
			go (&cutRequest{z}).run()
		}
	}
	for _, r := range z.replicas {
		<-r.arrived // Each replica runs the request.
	}
	z.cutOff(0, refused)
	time.Sleep(3 * time.Second) // A crash would be known to all daemons by now.
	for _, r := range z.replicas {
		close(r.release)
	}
	status, _ := get("http://" + z.daemons[1].front + "/slow/")
	is.Equal(status, http.StatusOK)
}
