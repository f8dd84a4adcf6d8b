package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// hasty answers before it has read the request, with a response that ends with its connection, and
// resets that.
func hasty(kind, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: 7\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Id"), kind, body)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// A part of a response to a long upload looked complete after a reset that met the upload. A second
// attempt at another replica brings that one's response only.
func TestAResetUploadLeavesNoCompleteResponse(t *testing.T) {
	for path, h := range map[string]http.HandlerFunc{
		"/safe/": hasty("text/plain", "part"), "/unsafe/": hasty("text/plain", "part"),
		"/stream/": hasty("text/event-stream", "id: 1\ndata: a\n\n"), "/turn/": hasty("text/event-stream", "id: 1\ndata: a\n\n"),
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, serveOK, serveOK).applyRoutes()
			f.servers[0].Config.Handler = h // The fixture's own handler reads a request first.
			parts := 0
			for range 40 {
				got := f.send(http.MethodPost, path, strings.Repeat("x", 900<<10))
				if got.err == nil && got.status == http.StatusOK && got.body != "fine" {
					parts++
				}
			}
			is.Equal(parts, 0)
		})
	}
}
