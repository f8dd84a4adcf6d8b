package connector_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/connector"
)

// TestAPartOfAHeadBeforeAResponse guards against a status, or a statement that the request did not
// run, that comes from another response: a replica writes a part of one, and the response to the
// request continues its last line. Cut anywhere, the part must leave no response.
func TestAPartOfAHeadBeforeAResponse(t *testing.T) {
	other := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nCause: broken\r\nContent-Length: 6\r\n"
	for n := 1; n < len(other); n++ {
		t.Run(other[:n], func(t *testing.T) {
			is := is.New(t)
			s := newRepeatingReplica(t, 0, func(id string, _ int) string { return other[:n] + withID(id, "200 OK", "fine") })
			c := connector.New()
			defer c.Close()
			e, err := c.Do(context.Background(), s.call("a"))
			if err == nil {
				_ = e.Response.Body.Close()
				e.Close()
			}
			var failure *connector.Error
			is.True(errors.As(err, &failure))
			is.True(failure.Sent) // It may have run.
		})
	}
}

// TestAHeadMayNameTheProtocol guards against a sound response that counts as two.
func TestAHeadMayNameTheProtocol(t *testing.T) {
	is := is.New(t)
	s := newRepeatingReplica(t, 0, func(id string, _ int) string {
		return strings.Replace(withID(id, "200 OK", "fine"), "\r\n", "\r\nVia: HTTP/1.1 proxy\r\nUpgrade: HTTP/1.1\r\n", 1)
	})
	c := connector.New()
	defer c.Close()
	e, err := c.Do(context.Background(), s.call("a"))
	is.NoErr(err)
	defer e.Close()
	body, err := io.ReadAll(e)
	is.NoErr(err)
	is.Equal(string(body), "fine")
	is.Equal(e.Response.StatusCode, http.StatusOK)
}
