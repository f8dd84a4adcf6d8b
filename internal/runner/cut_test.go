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

// cutter passes TCP connections on and cuts the next one after a number of bytes of its answer.
type cutter struct {
	back  string
	ln    net.Listener
	after atomic.Int64
	// request says that the request is cut in place of the answer.
	request atomic.Bool
}

func newCutter(t *testing.T, back string) *cutter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{back: back, ln: l}
	c.after.Store(-1)
	t.Cleanup(func() { _ = l.Close() })
	go c.run()
	return c
}

func (c *cutter) run() {
	for {
		front, err := c.ln.Accept()
		if err != nil {
			return
		}
		back, err := net.Dial("tcp", c.back)
		if err != nil {
			_ = front.Close()
			continue
		}
		after := c.after.Swap(-1)
		p := &cutPair{front: front, back: back, up: -1, down: after}
		if c.request.Load() {
			p.up, p.down = after, -1
		}
		go p.run()
	}
}

// cutPair is one connection with the bytes after which a direction is cut, negative for never.
type cutPair struct {
	front, back net.Conn
	up, down    int64
}

func (p *cutPair) run() {
	go p.loop()
	copyUntil(p.back, p.front, p.up)
	p.close()
}

func (p *cutPair) loop() {
	copyUntil(p.front, p.back, p.down)
	p.close()
}

func (p *cutPair) close() {
	_ = p.front.Close()
	_ = p.back.Close()
}

func copyUntil(to io.Writer, from io.Reader, limit int64) {
	if limit < 0 {
		_, _ = io.Copy(to, from)
		return
	}
	_, _ = io.CopyN(to, from, limit)
}

// TestCutAtByteN cuts the connection of the caller at many bytes of request and
// answer: the repeat brings the whole answer, and the effect happens once.
func TestCutAtByteN(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2)
	c := newCutter(t, strings.TrimPrefix(b.bases[0], "http://"))
	ctx := context.Background()
	client := func() *caller.Client {
		return caller.New(caller.Options{Base: "http://" + c.ln.Addr().String(), Key: key, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	}
	p, err := client().Create(ctx, caller.ProgramOptions{ID: "cuts", Budget: 100_000})
	is.NoErr(err)
	calls := 0
	for n := int64(0); n < 2400; n += 151 {
		for _, request := range []bool{false, true} {
			c.request.Store(request)
			question := fmt.Sprintf("cut at %d %v tokens=6", n, request)
			c.after.Store(n)
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
			c.after.Store(n / 4)
			answer, err := p.Call(ctx, "ledger", []byte(body))
			is.NoErr(err)
			is.True(strings.Contains(string(answer), fmt.Sprintf("%d-%v", n, request)))
			is.Equal(b.tool.Effects()[body], 1)
			calls += 2
		}
	}
	v, err := p.View(ctx, true)
	is.NoErr(err)
	is.Equal(v.Calls, calls)
	is.Equal(len(v.Messages), calls) // Two messages for each model call, half of the calls.
}
