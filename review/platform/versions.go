//go:build review

package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxMixed is how many streams may hold events of two versions.
	maxMixed = 2
	// downTime is how long a replica is away.
	downTime = 2 * time.Second
)

// streams sends streams that may be resumed, and remembers what they hold.
type streams struct {
	world *world

	mu                    sync.Mutex
	begun, resumed, mixed int
}

// take sends a stream, and takes it up once if it breaks off.
func (s *streams) take() {
	w := s.world
	deadline := time.Now().Add(turnTimeout)
	q := request{path: "/streams/1", body: fmt.Sprintf("lot %08x", w.random()), turn: true, tokens: turnTokens}
	versions := map[string]bool{}
	for attempts := 0; attempts < 2 && time.Until(deadline) > 0; attempts++ {
		q.timeout = time.Until(deadline)
		a := w.send(w.daemons[w.pick(len(w.daemons), 1)[0]], q)
		if a.status == 200 {
			first := s.read(a, &q, versions)
			if !first {
				s.count(&s.resumed)
			}
		}
		if a.whole {
			break
		}
		time.Sleep(min(a.comeBack, time.Until(deadline)/3))
	}
	s.count(&s.begun)
	if len(versions) > 1 {
		s.count(&s.mixed)
		w.note("stream %s holds events of %d versions", q.resumes, len(versions))
	}
}

// read reads the events of an answer. It returns false if they are those of a stream that was
// taken up.
func (s *streams) read(a answer, q *request, versions map[string]bool) (first bool) {
	first = q.resumes == ""
	var seen []string
	for _, event := range strings.SplitAfter(a.body, "\n\n") {
		id, data, ok := strings.Cut(strings.TrimSuffix(event, "\n\n"), "\ndata: ")
		n, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		if !ok || err != nil || !strings.HasSuffix(event, "\n\n") {
			continue
		}
		version, _, _ := strings.Cut(data, " ")
		versions[version] = true
		if q.last = n; q.resumes == "" {
			q.resumes = a.id
		}
		if len(seen) == 0 || seen[len(seen)-1] != data {
			seen = append(seen, data)
		}
	}
	s.world.note("request %s: events up to %d, of %q", a.id, q.last, seen)
	return first
}

func (s *streams) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// versions crashes one replica after the other, each soon after the one before is back. Each is
// back under the id that it had, with the next version of the software. It checks ORDER.
func versions(w *world, trouble bool) bool {
	zones := []string{"a", "b", "c"}
	for n := range 7 {
		w.replicas = append(w.replicas, newReplica(w, replicaOptions{
			service: "agents", zone: zones[n%len(zones)], slots: 12, stream: true, keepsID: true,
			pace: func([]byte) (int, time.Duration) { return 20, 80 * time.Millisecond },
		}))
	}
	w.configure(1, []map[string]any{service("agents", true)}, []map[string]any{{
		"name": "streams", "hostname": host, "prefix": "/streams/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
		"service": "agents", "max_attempts": 1, "retain": false, "sticky": true, "resumable": true, "gap_target_ms": 300,
	}})
	for n := range 6 {
		w.addDaemon(zones[n%len(zones)], zones)
	}
	w.begin()
	s := &streams{world: w}
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
			all.Add(1)
			go func() {
				defer all.Done()
				s.take()
			}()
		}
	}()
	time.Sleep(4 * time.Second)
	for range 3 {
		for _, r := range w.replicas {
			if trouble {
				r.upgrade()
				r.crash(downTime)
			}
			time.Sleep(downTime + 300*time.Millisecond)
		}
	}
	close(stop)
	all.Wait()
	w.verdict("%d streams, %d taken up, %d with events of two versions", s.begun, s.resumed, s.mixed)
	return s.mixed <= maxMixed
}
