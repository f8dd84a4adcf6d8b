//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crowd is a number of clients at each daemon. Each sends one request after the other, on a channel of its own,
// and reads the answer to its end.
type crowd struct {
	scene *scene
	size  int
	// request returns the next request.
	request func() request
	stop    chan struct{}
	group   sync.WaitGroup
	sent    atomic.Int64
	tally   tally
}

// request is what a client sends.
type request struct {
	method, path string
	header       map[string]string
	body         []byte
	// deadline is the client's time limit, and timeout that of the route.
	deadline, timeout time.Duration
}

// lateAfter is the time after its route's timeout at which a request must have an answer.
const lateAfter = 500 * time.Millisecond

// tally counts answers by status, and those that came late.
type tally struct {
	mu       sync.Mutex
	statuses map[string]int
	// overdue had no answer at the timeout of their route, and late none 0.5 s after it.
	overdue, late int
}

func (t *tally) add(q request, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses == nil {
		t.statuses = map[string]int{}
	}
	key := fmt.Sprint(a.Status)
	if a.Err != nil {
		key = "no answer"
	}
	t.statuses[key]++
	if a.Took > q.timeout {
		t.overdue++
	}
	if a.Took > q.timeout+lateAfter {
		t.late++
	}
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%v; without an answer at the route's timeout %d, half a second later %d", t.statuses, t.overdue, t.late)
}

func (s *scene) startCrowd(size int, next func() request) *crowd {
	c := &crowd{scene: s, size: size, request: next, stop: make(chan struct{})}
	q := next()
	s.logf("a request of the crowd: %s %s, time limit %v, body of %d bytes, fields %.400q", q.method, q.path, q.deadline, len(q.body), fmt.Sprint(q.header))
	for _, d := range s.daemons {
		for range size {
			c.group.Add(1)
			go (&crowdClient{crowd: c, to: d}).run()
		}
	}
	return c
}

// end ends the crowd once its requests are over.
func (c *crowd) end() {
	close(c.stop)
	c.group.Wait()
	c.scene.logf("crowd: %d requests sent; answers %v", c.sent.Load(), &c.tally)
}

type crowdClient struct {
	crowd *crowd
	to    *daemon
}

func (x *crowdClient) run() {
	c := x.crowd
	defer c.group.Done()
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		q, id := c.request(), c.scene.id()
		c.sent.Add(1)
		a := c.scene.call(x.to, id, q.method, q.path, q.header, q.body, q.deadline)
		c.tally.add(q, a)
		if a.Err != nil || a.Status == 503 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// callers are ordinary clients: one request every 200 ms, at one daemon after the other.
type callers struct {
	scene *scene
	group sync.WaitGroup
	tally tally
}

// run sends requests for a time, or until enough has happened, and waits for their answers.
func (c *callers) run(lasts time.Duration, q request, enough func() bool) {
	s := c.scene
	for k, end := 0, time.Now().Add(lasts); time.Now().Before(end) && !enough(); k++ {
		d, id := s.daemons[k%len(s.daemons)], s.id()
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			a := s.call(d, id, q.method, q.path, q.header, q.body, q.deadline)
			s.said(d, q.method+" "+q.path, id, a)
			c.tally.add(q, a)
		}()
		time.Sleep(200 * time.Millisecond)
	}
	c.group.Wait()
	s.logf("ordinary clients: %v", &c.tally)
}

// charge is a deposit charge of the sheet.
var charge = request{method: "POST", path: "/puxa403/4b", body: []byte(strings.Repeat("c", 600)), deadline: 1200 * time.Millisecond, timeout: 1200 * time.Millisecond}

// hexText returns a random number of n hexadecimal digits.
func hexText(n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%016x", rand.Uint64())
	}
	return b.String()[:n]
}
