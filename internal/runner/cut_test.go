package runner_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/pkg/caller"
)

// cutProxy forwards TCP connections to upstream and cuts the next one after cutAfter bytes
// of its response, unless cutAfter is negative.
type cutProxy struct {
	upstream string
	listener net.Listener
	cutAfter atomic.Int64
	// cutRequest makes the proxy count the bytes of the request instead.
	cutRequest atomic.Bool
}

func newCutProxy(t *testing.T, upstream string) *cutProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutProxy{upstream: upstream, listener: l}
	c.cutAfter.Store(-1)
	t.Cleanup(func() { _ = l.Close() })
	go c.run()
	return c
}

func (c *cutProxy) run() {
	for {
		client, err := c.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", c.upstream)
		if err != nil {
			_ = client.Close()
			continue
		}
		limit := c.cutAfter.Swap(-1)
		p := &proxiedConn{client: client, upstream: upstream, requestLimit: -1, responseLimit: limit}
		if c.cutRequest.Load() {
			p.requestLimit, p.responseLimit = limit, -1
		}
		go p.run()
	}
}

// proxiedConn is one forwarded connection. It is cut after requestLimit bytes from the
// client or responseLimit bytes from upstream; a negative limit never cuts.
type proxiedConn struct {
	client, upstream            net.Conn
	requestLimit, responseLimit int64
}

func (p *proxiedConn) run() {
	go p.loop()
	copyUpTo(p.upstream, p.client, p.requestLimit)
	p.close()
}

func (p *proxiedConn) loop() {
	copyUpTo(p.client, p.upstream, p.responseLimit)
	p.close()
}

func (p *proxiedConn) close() {
	_ = p.client.Close()
	_ = p.upstream.Close()
}

func copyUpTo(to io.Writer, from io.Reader, limit int64) {
	if limit < 0 {
		_, _ = io.Copy(to, from)
		return
	}
	_, _ = io.CopyN(to, from, limit)
}

// TestCutAtByteN guards against lost answers and repeated effects when the caller's
// connection breaks at any byte of the request or response. The client's retry must return
// the complete answer, and each service call must have its effect once.
func TestCutAtByteN(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 2)
	c := newCutProxy(t, strings.TrimPrefix(fx.bases[0], "http://"))
	ctx := context.Background()
	client := func() *caller.Client {
		return caller.New(caller.Options{Base: "http://" + c.listener.Addr().String(), Key: key, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	}
	p, err := client().Create(ctx, caller.ProgramOptions{ID: "cuts", Budget: 100_000})
	is.NoErr(err)
	calls := 0
	for n := int64(0); n < 2400; n += 151 {
		for _, request := range []bool{false, true} {
			c.cutRequest.Store(request)
			question := fmt.Sprintf("cut at %d %v tokens=6", n, request)
			c.cutAfter.Store(n)
			seen := ""
			text, err := p.Ask(ctx, "chat", []caller.Message{{Role: "user", Content: question}}, 0, func(x caller.Piece) {
				if x.Restart {
					seen = ""
				}
				seen += x.Text
			})
			is.NoErr(err)
			is.Equal(text, emulator.AnswerTo(question, 6))
			is.Equal(seen, text)
			body := fmt.Sprintf(`{"post":"%d-%v"}`, n, request)
			c.cutAfter.Store(n / 4)
			answer, err := p.Call(ctx, "ledger", []byte(body))
			is.NoErr(err)
			is.True(strings.Contains(string(answer), fmt.Sprintf("%d-%v", n, request)))
			is.Equal(fx.tool.Effects()[body], 1)
			calls += 2
		}
	}
	v, err := p.View(ctx, true)
	is.NoErr(err)
	is.Equal(v.Calls, calls)
	is.Equal(len(v.Messages), calls) // Half of the calls are model calls, with two messages each.
}
