//go:build review2

package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// holder is a client that sends a request without the last byte of its body and holds the channel. If that is
// closed, it comes back on a new one. With whole, it sends the last byte too and reads the answer.
type holder struct {
	scene *scene
	to    *daemon
	whole bool
	held  *atomic.Int64
	stop  chan struct{}
	group *sync.WaitGroup
}

func (h *holder) run() {
	defer h.group.Done()
	for {
		select {
		case <-h.stop:
			return
		default:
		}
		h.send()
		time.Sleep(200 * time.Millisecond)
	}
}

// send sends one request and waits until its channel is closed.
func (h *holder) send() {
	c, err := net.DialTimeout("tcp", h.to.front, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	body := strings.Repeat("s", 600)
	fmt.Fprintf(c, "POST /puxa403/4b HTTP/1.1\r\nHost: %s\r\nPimentorail-Request-Id: %s\r\nPimentorail-Deadline-Ms: 1200\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", host, h.scene.id(), len(body), body[1:])
	if h.whole {
		fmt.Fprint(c, "s")
	}
	h.held.Add(1)
	defer h.held.Add(-1)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		var b [1024]byte
		for {
			if _, err := c.Read(b[:]); err != nil {
				return
			}
		}
	}()
	select {
	case <-gone:
	case <-h.stop:
	}
}

// readiness asks the daemons once a second whether they are ready, as the platform does.
type readiness struct {
	scene         *scene
	stop          chan struct{}
	asked, missed atomic.Int64
}

func (r *readiness) run() {
	for {
		select {
		case <-time.After(time.Second):
		case <-r.stop:
			return
		}
		for _, d := range r.scene.daemons {
			r.asked.Add(1)
			if !d.isReady() {
				r.missed.Add(1)
			}
		}
	}
}

// stoppedBodies: a crowd sends requests whose bodies stop just short of their end, and stays.
func stoppedBodies(s *scene) {
	const clients = 1450
	s.smallDeployment()
	s.quiet.Store(true)
	s.logf("crowd: %d clients at each daemon send POST /puxa403/4b with 599 of 600 bytes (TROUBLE=0: with all of them) and stay", clients)
	stop := make(chan struct{})
	var held atomic.Int64
	var group sync.WaitGroup
	for _, d := range s.daemons {
		for range clients {
			group.Add(1)
			go (&holder{scene: s, to: d, whole: !s.trouble, held: &held, stop: stop, group: &group}).run()
		}
	}
	time.Sleep(4 * time.Second)
	s.logf("crowd: %d channels held", held.Load())
	r := &readiness{scene: s, stop: make(chan struct{})}
	go r.run()
	o := &callers{scene: s}
	o.run(25*time.Second, charge, func() bool { return false })
	close(r.stop)
	s.logf("crowd: %d channels held; ready asked %d times, missed %d", held.Load(), r.asked.Load(), r.missed.Load())
	close(stop)
	group.Wait()
	o.tally.mu.Lock()
	served := o.tally.statuses["200"]
	o.tally.mu.Unlock()
	s.verdict(served == 0, "Fault (no request is served): %t; ordinary clients' requests: %v; ready asked %d times, missed %d", served == 0, &o.tally, r.asked.Load(), r.missed.Load())
}
