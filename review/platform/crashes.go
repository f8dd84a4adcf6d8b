//go:build review

package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	jobTimeout = 1500 * time.Millisecond
	// maxRetries is how many retries of a request that has crashed three replicas may reach
	// replicas, from the stable window after the third crash on.
	maxRetries = 3
	maxCrashes = 3
)

// poison marks the requests that crash the replicas that run them.
const poison = "deadly "

// addJobs adds a service whose replicas crash at a poison.
func addJobs(w *world, replicas int, zones []string) {
	for n := range replicas {
		w.replicas = append(w.replicas, newReplica(w, replicaOptions{
			service: "jobs", zone: zones[n%len(zones)], slots: 6,
			pace:    func([]byte) (int, time.Duration) { return 1, 26 * time.Millisecond },
			crashes: func(body []byte) bool { return bytes.HasPrefix(body, []byte(poison)) },
		}))
	}
	w.configure(1, []map[string]any{service("jobs", false)}, []map[string]any{{
		"name": "jobs", "hostname": host, "prefix": "/jobs/", "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
		"service": "jobs", "max_attempts": 1, "retain": false, "sticky": false, "resumable": false,
	}})
}

// sound sends ordinary requests to the given daemons until the returned function is called.
func sound(w *world, daemons []*daemon) (stop func()) {
	done := make(chan struct{})
	var requests sync.WaitGroup
	requests.Add(1)
	go func() {
		defer requests.Done()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			requests.Add(1)
			go func() {
				defer requests.Done()
				w.send(daemons[n%len(daemons)], request{path: "/jobs/1", body: fmt.Sprintf("order %08x", w.random()), timeout: jobTimeout})
			}()
		}
	}()
	return func() {
		close(done)
		requests.Wait()
	}
}

// retries counts, for each poison, the times at which it reached a replica after the stable
// window that follows its third crash.
func retries(w *world) map[string]int {
	crashes, counts, reached := map[string]int{}, map[string]int{}, map[string]int{}
	third := map[string]time.Time{}
	for _, r := range w.arrivals() {
		if !strings.HasPrefix(r.body, poison) {
			continue
		}
		reached[r.body]++
		if at, ok := third[r.body]; ok && r.at.After(at.Add(stableWindow)) {
			counts[r.body]++
		}
		if r.crashed {
			crashes[r.body]++
		}
		if r.crashed && crashes[r.body] == maxCrashes {
			third[r.body] = r.at
		}
	}
	for body, n := range reached {
		w.verdict("request %q reached replicas %d times and crashed %d; %d times over %v after its third crash", body, n, crashes[body], counts[body], stableWindow)
	}
	return counts
}

func withinRetries(counts map[string]int) bool {
	for _, n := range counts {
		if n > maxRetries {
			return false
		}
	}
	return true
}

// survivor loses two of three daemons for good, and then sends a request that crashes the
// replicas again and again to the third. It checks BUDGET.
func survivor(w *world, trouble bool) bool {
	zones := []string{"a", "b", "c"}
	addJobs(w, 9, zones)
	for _, z := range zones {
		w.addDaemon(z, zones)
	}
	w.begin()
	stop := sound(w, w.daemons)
	time.Sleep(2 * time.Second)
	stop()
	left := w.daemons
	if trouble {
		for _, d := range w.daemons[1:] {
			w.note("%s is lost for good", d.node)
			d.kill()
		}
		left = w.daemons[:1]
	}
	stop = sound(w, left)
	time.Sleep(stableWindow + 2*time.Second)
	for n := range 14 {
		w.send(left[n%len(left)], request{path: "/jobs/1", body: poison + "order", timeout: jobTimeout})
		time.Sleep(3 * time.Second)
	}
	stop()
	return withinRetries(retries(w))
}
