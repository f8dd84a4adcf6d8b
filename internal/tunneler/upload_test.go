package tunneler_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// upload writes a long request in the background, as a connector does.
type upload struct {
	conn net.Conn
	done chan struct{}
}

func (u *upload) run() {
	defer close(u.done)
	_, _ = io.WriteString(u.conn, "POST /hasty HTTP/1.1\r\nHost: h\r\nContent-Length: 3500000\r\n\r\n")
	_, _ = u.conn.Write(make([]byte, 3_500_000))
}

// A part of a response looked complete: the replica reset the connection while the peer wrote the upload
// there.
func TestATunnelIsResetIfItsUploadFails(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	tunnels := f.tunneler()
	complete := 0
	for range 40 {
		c, err := tunnels.Dial(context.Background(), f.replica)
		is.NoErr(err)
		u := &upload{conn: c, done: make(chan struct{})}
		go u.run()
		if r, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			if _, err = io.ReadAll(r.Body); err == nil {
				complete++
			}
		}
		_ = c.Close()
		<-u.done
	}
	is.Equal(complete, 0)
}
