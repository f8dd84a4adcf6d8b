package rationer_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/ratelimiter"
	"pimentorail.example/pimentorail/internal/rationer"
)

// TestMessagesAreBounded measures messages in calm at the sizes of docs/CAPACITY.md, 16.4 requests a second and daemon. It
// guards against more than one message a request, and more than a few a second and daemon beside. LIMIT_DAEMONS is a further
// size.
func TestMessagesAreBounded(t *testing.T) {
	sizes := []int{63, 83}
	if n, err := strconv.Atoi(os.Getenv("LIMIT_DAEMONS")); err == nil {
		sizes = []int{n}
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) { playCost(t, n) })
	}
}

func playCost(t *testing.T, n int) {
	synctest.Test(t, func(t *testing.T) {
		const measured = 3 * time.Second
		ctx, cancel := context.WithCancel(context.Background())
		w := newNetwork(ctx, uint64(n), n, usersTolerance())
		for _, x := range w.nodes {
			x.start()
		}
		time.Sleep(warm)
		// As many accounts are active as send a request every second or so.
		for i := range 12 * n {
			a := newAccount(fmt.Sprint("account-", i), 4, 8)
			w.send(a, 16.4/12, uint64(i))
		}
		time.Sleep(2 * time.Second)
		requests, messages := w.requests.Load(), w.messages.Load()
		time.Sleep(measured)
		requests, messages = w.requests.Load()-requests, w.messages.Load()-messages
		cancel()
		w.calls.Wait()
		beside := float64(messages-requests) / float64(n) / measured.Seconds()
		t.Logf("%d daemons: %.0f requests/s, %.2f messages a request, %.1f a second and daemon beside one a request", n, float64(requests)/measured.Seconds(), float64(messages)/float64(requests), beside)
		if beside > 5 {
			t.Errorf("%d messages for %d requests", messages, requests)
		}
	})
}

// countedConn counts the bytes in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkTakeFromAnotherMember measures a credit that another daemon takes, with its bytes in both directions.
func BenchmarkTakeFromAnotherMember(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	holder := rationer.New(rationer.Dependencies{}, rationer.Options{VM: "holder", Process: "p", Tolerance: usersTolerance()})
	s := messenger.NewServer("secret")
	if err := s.Register(rationer.ServiceName, holder.Service()); err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s.Start(ctx, l)
	var bytes atomic.Int64
	pool := messenger.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := messenger.DialTCP(ctx, address)
		return countedConn{c, &bytes}, err
	}, "secret")
	defer pool.Close()
	q := rationer.TakeRequest{Key: ratelimiter.KeyOf("account"), Rate: 1e8, Burst: 1e9, Version: 17}
	take := func() {
		var r rationer.TakeReply
		if err := pool.Call(ctx, l.Addr().String(), rationer.ServiceName+".Take", q, &r); err != nil {
			b.Fatal(err)
		}
	}
	take()
	bytes.Store(0)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		take()
		n++
	}
	b.ReportMetric(float64(bytes.Load())/float64(n), "bytes/op")
}
