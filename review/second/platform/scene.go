//go:build review2

// Command platform plays the scripts of the review against the daemons of the deploy file, with
// stand-ins for the platform, the replicas and the clients.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// host is the host name of all routes.
const host = "ficu95.example"

// scene is one play.
type scene struct {
	root, dir string
	command   string
	contracts string
	zones     []string
	trouble   bool
	store     *store
	daemons   []*daemon
	replicas  []*replica
	config    map[string]any
	started   time.Time
	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	runs      []run
	ids       atomic.Int64
	// quiet leaves the runs of calls other than charges out of the record, and unlisted counts them.
	quiet    atomic.Bool
	unlisted atomic.Int64
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func newScene(zones ...string) *scene {
	root, _ := os.Getwd()
	dir, err := os.MkdirTemp("", "scene")
	check(err)
	s := &scene{root: root, dir: dir, command: "target/pimentorail serve", zones: zones, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), started: time.Now()}
	s.file, err = os.Create(os.Getenv("RECORD"))
	check(err)
	s.record = bufio.NewWriter(s.file)
	return s
}

func (s *scene) zoneLines() string {
	text := ""
	for _, z := range s.zones {
		text += "zones." + z + "=r\n"
	}
	return text
}

// logf adds a line to the record.
func (s *scene) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *scene) ran(r run) {
	if s.quiet.Load() && !strings.HasPrefix(r.Path, "/puxa403/") {
		s.unlisted.Add(1)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	s.logf("replica %s runs request %s %s %s, body %s of %d bytes, deadline %s", r.Replica, r.ID, r.Method, r.Path, r.Body, r.Size, r.Header.Get("Pimentorail-Deadline-Ms"))
}

// runsOf returns the runs of a request.
func (s *scene) runsOf(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []run
	for _, r := range s.runs {
		if r.ID == id {
			list = append(list, r)
		}
	}
	return list
}

// end ends all processes and the play.
func (s *scene) end(code int) {
	for _, d := range s.daemons {
		if d.cmd != nil && d.alive() {
			d.cmd.Process.Signal(syscall.SIGCONT)
			d.cmd.Process.Kill()
			<-d.exited
		}
	}
	s.logf("the replicas ran %d requests that are not listed", s.unlisted.Load())
	s.logf("exit status %d", code)
	s.mu.Lock()
	s.record.Flush()
	s.file.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, d := range s.daemons {
			data, _ := os.ReadFile(filepath.Join(s.dir, d.name+".log"))
			os.WriteFile(filepath.Join(keep, d.name+".log"), data, 0o600)
		}
	}
	os.RemoveAll(s.dir)
	os.Exit(code)
}

func (s *scene) cannotRun(format string, args ...any) {
	s.logf("can't run: "+format, args...)
	fmt.Printf("can't run: "+format+"\n", args...)
	s.end(2)
}

// broken ends the play with a broken rule.
func (s *scene) verdict(broken bool, format string, args ...any) {
	s.logf(format, args...)
	fmt.Printf(format+"\n", args...)
	if broken {
		s.end(1)
	}
	s.end(0)
}

func (s *scene) id() string {
	return fmt.Sprintf("%08x%08x", s.started.UnixNano()&0xffffffff, s.ids.Add(1))
}

func route(name, prefix, kind, service string, timeoutMS, attempts int, more map[string]any) map[string]any {
	r := map[string]any{"name": name, "hostname": host, "prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 250, "priority": 0, "service": service, "max_attempts": attempts, "sticky": false}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// smallConfig is a configuration like that of saaf-orders.
func smallConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("r-chat", "/pufi791/", "streaming", "huvo11a", 3000, 2, map[string]any{"retain": true, "retention_s": 60.0, "sticky": true, "resumable": false, "gap_target_ms": 300}),
			route("r-stock", "/pule252/", "safe", "wuno96b", 1000, 3, nil),
			route("r-charge", "/puxa403/", "unsafe", "wuno96b", 1200, 1, nil),
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/health", "max_conns": 160, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 12, "kv_capacity": 395977, "kv_token_bytes": 327680, "link_mbps": 2200000.0, "moves": true, "backups": true, "event_tokens": 27, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "wuno96b", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func (s *scene) putConfig(c map[string]any) {
	s.config = c
	s.store.put("op", "config", c)
	s.logf("operator: configuration %v acknowledged", c["version"])
}

// answer is what a client got.
type answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
	Took   time.Duration
}

func (a answer) whole() bool {
	return a.Err == nil && a.Status/100 == 2 && a.Header.Get("Pimentorail-Server-Stamp") != ""
}

// call sends one request on a channel of its own.
func (s *scene) call(d *daemon, id, method, path string, header map[string]string, body []byte, deadline time.Duration) answer {
	began := time.Now()
	a := answer{}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, bytes.NewReader(body))
	req.Host = host
	for k, v := range header {
		req.Header.Set(k, v)
	}
	req.Header.Set("Pimentorail-Request-Id", id)
	req.Header.Set("Pimentorail-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer tr.CloseIdleConnections()
	r, err := tr.RoundTrip(req)
	if err == nil {
		a.Status, a.Header = r.StatusCode, r.Header
		a.Body, err = io.ReadAll(r.Body)
		r.Body.Close()
	}
	a.Err, a.Took = err, time.Since(began)
	return a
}

// said logs what a request was answered.
func (s *scene) said(d *daemon, what, id string, a answer) {
	text := a.Body
	if len(text) > 160 {
		text = text[:160]
	}
	s.logf("client: %s %s at %s: %d, %d bytes, error %v, after %v%s", what, id, d.name, a.Status, len(a.Body), a.Err, a.Took.Round(time.Millisecond), map[bool]string{true: "", false: fmt.Sprintf(" %q", text)}[a.whole()])
}
