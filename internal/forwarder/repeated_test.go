package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/tracker"
)

// repeatingReplica refuses its first request. It writes that refusal once more before its
// response to each later request on the connection, which it runs.
type repeatingReplica struct {
	listener net.Listener
	status   string

	mu       sync.Mutex
	requests int
	runs     int
}

func newRepeatingReplica(t *testing.T, status string) *repeatingReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &repeatingReplica{listener: l, status: status}
	t.Cleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *repeatingReplica) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c)
	}
}

func (s *repeatingReplica) loop(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	refusal := ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Id")
		if s.count() {
			refusal = fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", s.status, id)
			_, _ = io.WriteString(c, refusal)
			continue
		}
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nId: %s\r\nStamp: 1\r\nContent-Length: 4\r\n\r\nfine", refusal, id)
	}
}

// count counts a request, and reports whether it is refused.
func (s *repeatingReplica) count() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.requests > 1 {
		s.runs++
	}
	return s.requests == 1
}

func (s *repeatingReplica) ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// TestAnEarlierRefusalIsNotBelieved guards against a request that counts as refused while its
// replica runs it, or that runs at a second replica: its client sent it again with the same id,
// and the replica wrote its refusal of the earlier one once more.
func TestAnEarlierRefusalIsNotBelieved(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"} {
		for replicas := 1; replicas <= 2; replicas++ {
			t.Run(fmt.Sprint(status, ", replicas: ", replicas), func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t).applyRoutes()
				var scripted []*repeatingReplica
				var list []*tracker.Replica
				for i := range replicas {
					s := newRepeatingReplica(t, status)
					scripted = append(scripted, s)
					list = append(list, &tracker.Replica{ID: fmt.Sprint(i), Service: "s", Address: s.listener.Addr().String(), Slots: 4})
				}
				f.tracker.Replace(list, time.Now())
				is.Equal(f.sendAs(context.Background(), "same", http.MethodPost, "/unsafe/", "x").status, http.StatusServiceUnavailable)
				var again response
				for range 20 { // A replica that failed is avoided for a while.
					if again = f.sendAs(context.Background(), "same", http.MethodPost, "/unsafe/", "x"); again.status == http.StatusOK {
						break
					}
					for _, s := range scripted {
						is.Equal(s.ran(), 0) // It was answered as not run.
					}
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(again.status, http.StatusOK)
				runs := 0
				for _, s := range scripted {
					runs += s.ran()
				}
				is.Equal(runs, 1)
			})
		}
	}
}
