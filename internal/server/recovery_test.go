package server_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/server"
)

// partOfStream writes an event, and more than that if the request asks for it. It ends the
// response as broken unless the request asks for all.
func partOfStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 0\ndata: a\n\n")
	_ = http.NewResponseController(w).Flush()
	if r.URL.Path == "/long" {
		_, _ = io.WriteString(w, strings.Repeat("data: a\n", 100_000))
	}
	if r.URL.Path != "/whole" {
		panic(http.ErrAbortHandler)
	}
}

// TestABrokenResponseDoesNotLookComplete guards against a response that is broken off and looks
// complete to its client: over HTTP/1.0 it ends with the connection.
func TestABrokenResponseDoesNotLookComplete(t *testing.T) {
	s := httptest.NewUnstartedServer(server.NewRecovery(http.HandlerFunc(partOfStream)))
	s.Listener = server.NewClientConns(s.Config).Wrap(s.Listener) // As a daemon does.
	s.Start()
	defer s.Close()
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, header := range []string{"", "Connection: close\r\n", "Connection: keep-alive\r\n"} {
			for path, complete := range map[string]bool{"/whole": true, "/part": false, "/long": false} {
				t.Run(fmt.Sprint(version, path, header), func(t *testing.T) {
					is := is.New(t)
					c, err := net.Dial("tcp", s.Listener.Addr().String())
					is.NoErr(err)
					defer c.Close()
					is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
					_, err = fmt.Fprintf(c, "POST %s %s\r\nHost: h\r\nContent-Length: 1\r\n%s\r\nx", path, version, header)
					is.NoErr(err)
					r, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err == nil {
						_, err = io.ReadAll(r.Body)
					}
					is.Equal(err == nil, complete)
					if !complete {
						is.True(errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET))
					}
				})
			}
		}
	}
}
