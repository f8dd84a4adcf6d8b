package screener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/screener"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// fixture is a server with a screener.
type fixture struct {
	is       *is.I
	screener *screener.Screener
	server   *http.Server
	address  string
}

func (f *fixture) run(l net.Listener) { _ = f.server.Serve(l) }

func start(t *testing.T, memory int64) *fixture {
	t.Helper()
	f := &fixture{is: is.New(t), screener: screener.New(memory)}
	f.server = &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }), ReadHeaderTimeout: 10 * time.Second}
	f.screener.Guard(f.server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	f.address = l.Addr().String()
	go f.run(f.screener.Wrap(l))
	t.Cleanup(func() { _ = f.server.Close() })
	return f
}

func (f *fixture) dial() net.Conn {
	c, err := net.Dial("tcp", f.address)
	f.is.NoErr(err)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// send sends bytes and returns the status of the response, zero if there is none.
func (f *fixture) send(c net.Conn, text string) int {
	_, _ = io.WriteString(c, text)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// await waits until the screener's counts meet a condition.
func (f *fixture) await(met func(c screener.Counts) bool) {
	for range 500 {
		if met(f.screener.Counts()) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.is.True(met(f.screener.Counts()))
}

func head(fields int) string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for n := range fields {
		fmt.Fprintf(&b, "%x:1\r\n", n)
	}
	return b.String()
}

// Heads of many short fields took more memory than the process has, each within the limit of one
// head. The memory is free again once the heads are gone.
func TestHeadsShareOneBudget(t *testing.T) {
	f := start(t, 8<<20)
	c := f.dial()
	f.is.Equal(f.send(c, head(1000)+"\r\n"), http.StatusOK)
	f.is.Equal(f.send(c, head(1000)+"\r\n"), http.StatusOK) // The first one was released.
	var holders []net.Conn
	for range 8 {
		h := f.dial()
		_, _ = io.WriteString(h, head(1000))
		holders = append(holders, h)
	}
	f.await(func(c screener.Counts) bool { return c.Refused >= 4 })
	f.is.True(f.screener.Counts().HeadBytes <= 1<<20)
	f.is.Equal(f.send(f.dial(), head(1000)+"\r\n"), http.StatusServiceUnavailable)
	f.is.Equal(f.send(f.dial(), head(20)+"\r\n"), http.StatusOK)
	for _, h := range holders {
		_ = h.Close()
	}
	f.await(func(c screener.Counts) bool { return c.HeadBytes == 0 })
	f.is.Equal(f.send(f.dial(), head(1000)+"\r\n"), http.StatusOK)
}

// Lines of a body counted as fields of a head, so that ordinary requests were refused.
func TestLinesOfABodyAreNoFields(t *testing.T) {
	f := start(t, 8<<20)
	body := strings.Repeat("x\n", 1<<20)
	post := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	c := f.dial()
	for range 3 {
		f.is.Equal(f.send(c, post), http.StatusOK)
	}
	f.is.Equal(f.screener.Counts().Refused, int64(0))
}

// Clients that held connections kept others out.
func TestAWaitingConnectionMakesRoom(t *testing.T) {
	f := start(t, 8<<20)
	var held []net.Conn
	for range 200 {
		held = append(held, f.dial())
	}
	f.is.Equal(f.send(f.dial(), head(1)+"\r\n"), http.StatusOK)
	counts := f.screener.Counts()
	f.is.True(counts.Open <= 73 && counts.Evicted > 100)
	_, err := held[0].Read(make([]byte, 1))
	f.is.True(err != nil && !os.IsTimeout(err)) // It has waited for longest.
}
