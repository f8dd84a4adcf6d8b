//go:build review2

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// beatInterval is the time between two status reports of a replica.
const beatInterval = 1200 * time.Millisecond

// run is a request that a replica ran.
type run struct {
	Replica string
	At      time.Time
	ID      string
	Method  string
	Path    string
	Header  http.Header
	Body    string // its SHA-256
	Size    int
}

// replica is a sound server.
type replica struct {
	scene   *scene
	id      string
	service string
	zone    string
	version string
	model   bool
	slots   int
	born    int64
	seq     atomic.Int64
	state   atomic.Value // string
	events  int
	work    time.Duration
	// crashes reports whether the replica ends when it begins to run a request.
	crashes  func(body []byte, r *http.Request) bool
	header   func(h http.Header)
	address  string
	server   *http.Server
	running  atomic.Int64
	stop     chan struct{}
	down     atomic.Bool
	beatOff  atomic.Bool
	mu       sync.Mutex
	listener net.Listener
}

func (s *scene) newReplica(service, zone string, model bool) *replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &replica{scene: s, id: fmt.Sprintf("i-%s-%02d", service, len(s.replicas)+1), service: service, zone: zone, version: "v1", model: model, slots: 12, events: 4, work: 20 * time.Millisecond}
	if !model {
		x.slots = 6
	}
	x.state.Store("ready")
	s.replicas = append(s.replicas, x)
	return x
}

func (x *replica) start() {
	at := x.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", at); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	x.address = l.Addr().String()
	x.born = time.Now().UnixMilli()
	x.seq.Store(0)
	x.running.Store(0)
	x.stop = make(chan struct{})
	server := &http.Server{Handler: x, IdleTimeout: 10 * time.Second}
	x.mu.Lock()
	x.server = server
	x.mu.Unlock()
	x.down.Store(false)
	go server.Serve(l)
	x.beat()
	go func(stop chan struct{}) {
		for {
			select {
			case <-time.After(beatInterval):
				x.beat()
			case <-stop:
				return
			}
		}
	}(x.stop)
}

// beat writes the replica's row.
func (x *replica) beat() {
	if x.beatOff.Load() {
		return
	}
	x.scene.store.put("servers", x.id, map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": x.version, "slots": x.slots, "state": x.state.Load(), "cold_left_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": x.seq.Add(1), "born": x.born,
	})
}

// kill ends the replica at once: its channels break off and its port is closed.
func (x *replica) kill() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down.Swap(true) {
		return
	}
	close(x.stop)
	x.server.Close()
}

// timeOf returns how long a call takes: a lookup a third of the others, as on the sheet.
func (x *replica) timeOf(r *http.Request) time.Duration {
	if r.Method == http.MethodGet {
		return x.work / 3
	}
	return x.work
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

func (x *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Pimentorail-Instance-Id", x.id)
	if x.header != nil {
		x.header(h)
	}
	if r.URL.Path == "/health" {
		w.WriteHeader(200)
		return
	}
	if r.URL.Path == "/-/report" {
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":%d,"kv_used":0,"kv_total":395977,"handles":0,"born":%d}`, x.running.Load(), x.born)
		return
	}
	id := r.Header.Get("Pimentorail-Request-Id")
	h.Set("Pimentorail-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if e := r.Header.Get("Pimentorail-Expect-Instance"); e != "" && e != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Pimentorail-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if x.running.Load() >= int64(3*x.slots) {
		h.Set("Pimentorail-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x.running.Add(1)
	defer x.running.Add(-1)
	x.scene.ran(run{Replica: x.id, At: time.Now(), ID: id, Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: digest(body), Size: len(body)})
	if x.crashes != nil && x.crashes(body, r) {
		time.Sleep(x.work)
		x.scene.logf("replica %s is crashed by request %s", x.id, id)
		x.kill()
		panic(http.ErrAbortHandler)
	}
	h.Set("Pimentorail-Server-Stamp", "3e1b."+id+"."+x.id)
	h.Set("Pimentorail-Server-Load", fmt.Sprintf("%d,0,%d", x.running.Load(), x.slots))
	if !x.model {
		select {
		case <-time.After(x.timeOf(r)):
		case <-r.Context().Done():
			return
		}
		answer := []byte(fmt.Sprintf("%s by %s %s", id, x.id, strings.Repeat("x", 760)))
		h.Set("Content-Length", strconv.Itoa(len(answer)))
		w.Write(answer)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	for i := first; i <= x.events; i++ {
		select {
		case <-time.After(x.work):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s.%d %s\n\n", i, id, i, strings.Repeat("y", 100))
		http.NewResponseController(w).Flush()
	}
}
