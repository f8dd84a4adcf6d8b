package connector_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/connector"
)

// A detour that panicked ended the process. If it didn't, its call would wait for the deadline.
func TestDetourThatPanicsFails(t *testing.T) {
	is := is.New(t)
	a := closedAddress(t)
	began := time.Now()
	_, err := connector.New().Do(context.Background(), &connector.Call{
		Instance: a, Address: a, Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(10 * time.Second),
		Detour: func(context.Context) (net.Conn, error) { panic("odd peer") },
	})
	var e *connector.Error
	is.True(errors.As(err, &e))
	is.True(!e.Sent)
	is.True(time.Since(began) < 5*time.Second)
}

// A response whose decoding panics kept its connection, which counted against the limit for good.
func TestPanicOfTheCallerFreesTheConnection(t *testing.T) {
	is := is.New(t)
	s := newScriptedReplica(t, okResponse)
	c := connector.New()
	q := s.call("a")
	q.Limit = 1
	matches := q.Matches
	q.Matches = func(*http.Response) bool { panic("odd header") }
	for range 2 {
		is.Equal(doAndRecover(c, q), "odd header")
	}
	q.Matches = matches
	e, err := c.Do(context.Background(), q)
	is.NoErr(err)
	e.Close()
}

// doAndRecover returns the value of the panic of a call.
func doAndRecover(c *connector.Connector, q *connector.Call) (value any) {
	defer func() { value = recover() }()
	_, err := c.Do(context.Background(), q)
	return err
}
