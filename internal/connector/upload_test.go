package connector_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/connector"
)

// hastyReplica answers each request before it has read it: with a part of a response that has no
// length, after which it ends its connection.
type hastyReplica struct {
	listener net.Listener
	// resets is set if it resets the connection, rather than that it closes it with unread bytes.
	resets bool
	// readsOn is set if it closes its side only, and reads on.
	readsOn bool
}

func (h *hastyReplica) run() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(c, make([]byte, 16))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\npart")
		switch {
		case h.readsOn:
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		case h.resets:
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// The client got a part of a response as a complete one: the reset met the write of the upload, and the
// read that followed saw the end of the connection. A replica that reads on has sent a complete one.
func TestAResetWhileARequestIsWrittenEndsNoResponse(t *testing.T) {
	for _, h := range []*hastyReplica{{resets: true}, {}, {readsOn: true}} {
		for _, size := range []int{400 << 10, 3500 << 10} {
			t.Run(fmt.Sprintf("resets %t, reads on %t, %d bytes", h.resets, h.readsOn, size), func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer l.Close()
				replica := *h
				replica.listener = l
				go replica.run()
				complete := 0
				for range 40 {
					c := connector.New()
					e, err := c.Do(context.Background(), &connector.Call{
						Instance: "i", Address: l.Addr().String(), Method: "POST", Target: "/", Host: "h", Body: [][]byte{make([]byte, size)}, Deadline: time.Now().Add(5 * time.Second),
					})
					if err != nil {
						continue
					}
					if body, err := io.ReadAll(e); err == nil {
						is.Equal(string(body), "part")
						complete++
					}
					e.Close()
					c.Close()
				}
				t.Logf("%d of 40 responses look complete", complete)
				if h.readsOn {
					is.Equal(complete, 40)
				} else {
					is.Equal(complete, 0)
				}
			})
		}
	}
}
