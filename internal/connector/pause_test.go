package connector_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/connector"
)

// pausingReplica stands still for a while after the first bytes of a request.
type pausingReplica struct {
	listener net.Listener
	pause    time.Duration
	size     int64
}

func (p *pausingReplica) run() {
	c, err := p.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = io.ReadFull(c, make([]byte, 10))
	time.Sleep(p.pause)
	_, _ = io.CopyN(io.Discard, c, p.size)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// A sound replica that stood still for more than a second lost its connections, and the
// requests on them, though it went on.
func TestAReplicaThatStandsStillKeepsItsConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	body := make([]byte, 32<<20) // More than the buffers of both ends take.
	p := &pausingReplica{listener: l, pause: 2 * time.Second, size: int64(len(body))}
	go p.run()
	c := connector.New()
	defer c.Close()
	e, err := c.Do(context.Background(), &connector.Call{
		Instance: "a", Address: l.Addr().String(), Method: "POST", Target: "/", Host: "h", Body: [][]byte{body}, Deadline: time.Now().Add(10 * time.Second),
	})
	is.NoErr(err)
	defer e.Close()
	got, err := io.ReadAll(e)
	is.NoErr(err)
	is.Equal(string(got), "ok")
}
