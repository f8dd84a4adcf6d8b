package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/dispatcher"
)

// hastyService answers each call before it has read it, and then resets the connection.
type hastyService struct {
	listener net.Listener
	response string
}

func (h *hastyService) run() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(c, make([]byte, 16))
		_, _ = io.WriteString(c, h.response)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func startHasty(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go (&hastyService{l, response}).run()
	return l.Addr().String()
}

func call(address string, size int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := dispatcher.New().Service(ctx, address, dispatcher.ServiceRequest{ID: "1", Body: make([]byte, size)})
	return err
}

// The caller got a part of a response as a complete one: the service reset the connection while the call
// was written.
func TestAResetWhileACallIsWrittenEndsNoResponse(t *testing.T) {
	is := is.New(t)
	address, complete := startHasty(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"), 0
	for range 40 {
		if call(address, 3500<<10) == nil {
			complete++
		}
	}
	is.Equal(complete, 0)
}

// A status that is none was passed on, and the listener panicked.
func TestAStatusThatIsNoneIsNoResponse(t *testing.T) {
	is := is.New(t)
	for _, status := range []string{"000", "099", "600", "999"} {
		address := startHasty(t, fmt.Sprintf("HTTP/1.1 %s None\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status))
		is.True(call(address, 0) != nil) // The status.
	}
}
