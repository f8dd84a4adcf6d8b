package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/dispatcher"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// repeatingTarget writes the first response on a connection once more before each later one to a
// call. It has nothing to cancel.
type repeatingTarget struct {
	listener net.Listener
	// responses are sent in order, one per call.
	responses []string
	calls     atomic.Int64
}

func newRepeatingTarget(t *testing.T, responses ...string) *repeatingTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &repeatingTarget{listener: l, responses: responses}
	t.Cleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *repeatingTarget) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c)
	}
}

func (s *repeatingTarget) loop(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	first := ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if q.Method == http.MethodDelete {
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		next := s.responses[s.calls.Add(1)-1]
		_, _ = io.WriteString(c, first+next)
		if first == "" {
			first = next
		}
	}
}

func (s *repeatingTarget) address() string { return s.listener.Addr().String() }

func complete(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestAnEarlierRefusalIsNotTakenForAModelCalls guards against a model call that counts as not
// run, and is sent to another engine, while its engine runs it: the engine wrote its refusal of
// an earlier call once more.
func TestAnEarlierRefusalIsNotTakenForAModelCalls(t *testing.T) {
	is := is.New(t)
	s := newRepeatingTarget(t, refusal, complete(`data: {"id":"n","number":0,"content":"x"}`+"\n\n"+`data: {"id":"n","number":1,"finish_reason":"stop","usage":{"prompt_tokens":1,"completion_tokens":1}}`+"\n\n"))
	d := dispatcher.New()
	_, err := d.Model(context.Background(), s.address(), newModelRequest("m"), nil)
	var f *dispatcher.Error
	is.True(errors.As(err, &f))
	is.Equal(f.Ran, classifier.RanNo)
	r, err := d.Model(context.Background(), s.address(), newModelRequest("n"), nil)
	is.NoErr(err)
	is.Equal(r.Text, "x")
}

// TestAnEarlierAnswerIsNotTakenForAServiceCalls guards against a call that gets the answer to
// another one, or counts as refused, because the service wrote an earlier response once more.
func TestAnEarlierAnswerIsNotTakenForAServiceCalls(t *testing.T) {
	rows := []struct{ name, first string }{{"answer", complete("one")}, {"refusal", refusal}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newRepeatingTarget(t, row.first, complete("two"))
			d := dispatcher.New()
			_, _ = d.Service(context.Background(), s.address(), dispatcher.ServiceRequest{ID: "m", NotRunStatuses: []int{503}})
			r, err := d.Service(context.Background(), s.address(), dispatcher.ServiceRequest{ID: "n", NotRunStatuses: []int{503}})
			is.NoErr(err)
			is.Equal(string(r.Body), "two")
		})
	}
}
