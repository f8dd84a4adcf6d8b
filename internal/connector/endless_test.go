package connector_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/connector"
)

// endlessReplica sends a prefix and then the same line, or nothing if that is empty, until
// its caller closes.
type endlessReplica struct {
	listener     net.Listener
	prefix, line string
	closed       chan struct{}
}

func newEndlessReplica(t *testing.T, prefix, line string) *endlessReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &endlessReplica{listener: l, prefix: prefix, line: line, closed: make(chan struct{})}
	go s.run()
	return s
}

func (s *endlessReplica) run() {
	c, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	defer close(s.closed)
	_, err = io.WriteString(c, s.prefix)
	if s.line == "" {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	for err == nil {
		_, err = io.WriteString(c, s.line)
	}
}

const (
	// endlessTimeout is the deadline of the exchanges. An endless response must end them
	// long before.
	endlessTimeout = 20 * time.Second
	endlessBound   = 5 * time.Second
	// memoryBound is the memory that an endless response may take.
	memoryBound = 8 << 20
)

// TestAnEndlessHeadEndsTheExchange guards against a replica in trouble that sends bytes that
// are no response, without end: the exchange fails soon, with flat memory, and closes the
// connection.
func TestAnEndlessHeadEndsTheExchange(t *testing.T) {
	rows := []struct{ name, prefix, line string }{
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: and more of it, line by line\r\n"},
		{"one header line", "HTTP/1.1 200 OK\r\nX-More: ", "and more of it "},
		{"no status line", "", "\x01\x02\x03 these bytes are no response "},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newEndlessReplica(t, row.prefix, row.line)
			began := time.Now()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := connector.New().Do(context.Background(), &connector.Call{
				Instance: "a", Address: s.listener.Addr().String(), Method: "GET", Target: "/", Host: "h", Deadline: began.Add(endlessTimeout),
			})
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.True(time.Since(began) < endlessBound)
			is.True(after.TotalAlloc-before.TotalAlloc < memoryBound)
			<-s.closed
		})
	}
}

// TestAnEndlessBodyIsDiscardedInTime guards against a refusal whose body never ends, and
// holds up the request that should go to another replica.
func TestAnEndlessBodyIsDiscardedInTime(t *testing.T) {
	rows := []struct{ name, line string }{{"many bytes", "more and more and more of it"}, {"no bytes", ""}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newEndlessReplica(t, "HTTP/1.1 503 Service Unavailable\r\n\r\n", row.line)
			began := time.Now()
			e, err := connector.New().Do(context.Background(), &connector.Call{
				Instance: "a", Address: s.listener.Addr().String(), Method: "GET", Target: "/", Host: "h", Deadline: began.Add(endlessTimeout),
			})
			is.NoErr(err)
			is.True(e.Discard(1<<20, 50*time.Millisecond) != nil)
			e.Close()
			is.True(time.Since(began) < endlessBound)
		})
	}
}
