//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerID       = "Pimentorail-Request-Id"
	headerExpect   = "Pimentorail-Expect-Instance"
	headerStamp    = "Pimentorail-Server-Stamp"
	headerNotRun   = "Pimentorail-Not-Run"
	headerLoad     = "Pimentorail-Server-Load"
	headerDeadline = "Pimentorail-Deadline-Ms"
	headerInstance = "Pimentorail-Instance-Id"

	// queueLength is the number of requests that a replica queues beyond its slots.
	queueLength = 36
	// beatInterval is the interval of status reports. A row is removed after three of silence.
	beatInterval = 1200 * time.Millisecond
)

// replicaOptions describe a replica, over all of its lifetimes.
type replicaOptions struct {
	service, zone string
	slots         int
	// stream is set for a model engine, whose answers are events.
	stream bool
	// crashes reports whether a request ends the process of the replica that begins to run it.
	crashes func(body []byte) bool
	// pace returns the number of events of an answer and the pause between two, for a model
	// engine, or the time of the work.
	pace func(body []byte) (events int, gap time.Duration)
	// keepsID is set if the replica starts again under the id that it had.
	keepsID bool
}

// replica is a stand-in for a replica of a service. Each start is a lifetime with its own id.
type replica struct {
	world   *world
	options replicaOptions
	address string

	mu       sync.Mutex
	id       string
	server   *http.Server
	conns    map[net.Conn]bool
	running  int
	waiting  int
	lifetime int
	// version is the version of the software that the next lifetime has.
	version int
	slots   chan struct{}
}

// run is one request that a replica began to run, or refused.
type run struct {
	at       time.Time
	replica  string
	id, path string
	parent   string
	body     string
	ran      bool
	// crashed is set if the run ended the process of the replica.
	crashed bool
}

func newReplica(w *world, o replicaOptions) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	r := &replica{world: w, options: o, address: l.Addr().String(), version: 1}
	r.begin(l)
	return r
}

// begin begins a lifetime and registers it.
func (r *replica) begin(l net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lifetime++
	if r.id == "" || !r.options.keepsID {
		r.id = fmt.Sprintf("i-%08x", r.world.random())
	}
	r.conns, r.running, r.waiting, r.slots = map[net.Conn]bool{}, 0, 0, make(chan struct{}, r.options.slots)
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: r.track}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	r.world.store.put("servers", r.id, map[string]any{
		"service": r.options.service, "address": r.address, "zone": r.options.zone, "version": fmt.Sprintf("v%d", r.version), "slots": r.options.slots,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
}

func (r *replica) track(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(r.conns, c)
	} else {
		r.conns[c] = true
	}
}

// upgrade gives the lifetimes from the next one on another version of the software.
func (r *replica) upgrade() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
}

// crash ends the process: all of its channels are reset and nothing listens at its address. It
// is back after the given time, with a new id; its row goes after three intervals of silence.
func (r *replica) crash(back time.Duration) {
	r.mu.Lock()
	server, id := r.server, r.id
	if server == nil {
		r.mu.Unlock()
		return
	}
	r.server = nil
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	r.mu.Unlock()
	r.world.note("replica %s crashes", id)
	_ = server.Close()
	if !r.options.keepsID {
		time.AfterFunc(3*beatInterval, func() { r.world.store.drop("servers", id) })
	}
	time.AfterFunc(back, func() {
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			r.world.note("replica %s is not back: %v", id, err)
			return
		}
		r.begin(l)
		r.world.note("replica %s is back as %s", id, r.name())
	})
}

func (r *replica) name() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	id, lifetime, server, slots, version := r.id, r.lifetime, r.server, r.slots, r.version
	h := w.Header()
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.options.slots))
	full := r.waiting >= queueLength
	r.mu.Unlock()
	h.Set(headerID, q.Header.Get(headerID))
	h.Set(headerInstance, id)
	body, err := io.ReadAll(q.Body)
	if err != nil || server == nil {
		return
	}
	seen := run{at: time.Now(), replica: id, id: q.Header.Get(headerID), path: q.URL.Path, parent: q.Header.Get("Pimentorail-Previous-Turn"), body: string(body)}
	switch expected := q.Header.Get(headerExpect); {
	case expected != "" && expected != id:
		r.world.addRun(seen)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		h.Set(headerNotRun, "1")
		r.world.addRun(seen)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx := q.Context()
	if ms, err := strconv.Atoi(q.Header.Get(headerDeadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	r.count(&r.waiting, lifetime, 1)
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		r.count(&r.waiting, lifetime, -1)
		return
	}
	r.count(&r.waiting, lifetime, -1)
	r.count(&r.running, lifetime, 1)
	defer r.count(&r.running, lifetime, -1)
	seen.ran, seen.crashed = true, r.options.crashes != nil && r.options.crashes(body)
	r.world.addRun(seen)
	h.Set(headerStamp, fmt.Sprintf("%s.%s", id, seen.id))
	if seen.crashed {
		time.Sleep(20 * time.Millisecond)
		r.crash(r.world.crashBack)
		<-ctx.Done()
		return
	}
	events, gap := r.options.pace(body)
	if !r.options.stream {
		wait(ctx, gap)
		if ctx.Err() == nil {
			h.Set("Content-Length", "2")
			_, _ = io.WriteString(w, "ok")
		}
		return
	}
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		if wait(ctx, gap); ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: v%d %s\n\n", n, version, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// count changes a counter of the present lifetime.
func (r *replica) count(n *int, lifetime, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lifetime == lifetime {
		*n += by
	}
}

// load returns the number of requests that run, and the number of slots.
func (r *replica) load() (running, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running, r.options.slots
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
