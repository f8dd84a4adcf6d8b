//go:build review

// Command platform runs a case of the review: it starts daemons of `pimentorail serve` before
// a stand-in store, stand-in replicas and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// stableWindow is stable_window_ms of the settings.
const stableWindow = 3 * time.Second

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) bool{
	"condemned": condemned,
	"survivor":  survivor,
	"versions":  versions,
	"moved":     moved,
}

func main() {
	// The daemons end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(execute())
}

func execute() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return cantRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer os.RemoveAll(dir)
	defer func() {
		if f, ok := recover().(failure); ok {
			fmt.Fprintln(os.Stderr, f.err)
			code = cantRun
		}
	}()
	w := newWorld(program, dir, record, time.Now().UnixNano())
	defer w.end()
	if cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0") {
		return held
	}
	return broken
}

// verdict writes a line to the record and to the standard output.
func (w *world) verdict(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// service returns the declaration of a service.
func service(name string, model bool) map[string]any {
	s := map[string]any{"name": name, "health_path": "/health", "max_conns": 160, "protocol": "h1", "tls": false}
	if model {
		s["engine"] = map[string]any{"slots": 12, "kv_capacity": 395977, "event_tokens": eventTokens, "models": []any{map[string]any{"name": "m"}}}
	}
	return s
}

// configure writes a configuration.
func (w *world) configure(version int, services, routes []map[string]any) {
	w.store.put("op", "config", map[string]any{
		"version": version, "services": services, "routes": routes,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.note("configuration %d is acked", version)
}
