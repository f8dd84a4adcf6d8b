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
	turnTokens  = 567
	eventTokens = 27
	turnTimeout = 3 * time.Second
	// programAim is the time in which a program is to finish.
	programAim = 12 * time.Second
	// retention is retention_s of the route.
	retention = time.Minute
)

// toolTurn begins the input of each turn that follows a tool: the framework's text, then the
// tool's result.
var toolTurn = strings.Repeat("The tool has returned. Read its result below, compare it with what the customer asked for, and go on. ", 3)

// try is one client attempt of a turn.
type try struct {
	answer
	parent string
	// aimAt is when the program is to finish.
	aimAt time.Time
}

// turns sends the turns of programs and remembers the tries.
type turns struct {
	world *world

	mu       sync.Mutex
	tries    []try
	answered map[string]time.Time
}

// take sends a turn until it is answered, as often as clients do, and returns its id.
func (t *turns) take(q request, aimAt time.Time) string {
	w := t.world
	for sends := 0; sends < 3; sends++ {
		for attempts := 0; attempts < 2; attempts++ {
			q.finish = max(time.Millisecond, time.Until(aimAt))
			a := w.send(w.daemons[w.pick(len(w.daemons), 1)[0]], q)
			t.mu.Lock()
			t.tries = append(t.tries, try{answer: a, parent: q.parent, aimAt: aimAt})
			if a.whole {
				t.answered[a.id] = time.Now()
			}
			t.mu.Unlock()
			switch {
			case a.whole:
				return a.id
			case a.status >= 400 && a.status < 500 && a.status != 429 && a.status != 408 && a.status != 421:
				return ""
			}
			if a.status != 503 && a.status != 429 {
				break // Nothing promises that it has not run.
			}
		}
		time.Sleep(100*time.Millisecond + time.Duration(w.random()%300)*time.Millisecond)
	}
	return ""
}

// program runs one program: a turn with the customer's question, helpers that work on the
// results of tools, and the turn that follows them.
func (t *turns) program(n int, results ...string) {
	id := fmt.Sprintf("p%d-%06x", n, t.world.random()&0xffffff)
	aimAt := time.Now().Add(programAim)
	q := request{path: "/turns/1", timeout: turnTimeout, program: id, session: id, turn: true, budget: 16 * turnTokens, tokens: turnTokens}
	q.body = fmt.Sprintf("Customer %d asks: roof %08x", n, t.world.random())
	first := t.take(q, aimAt)
	if first == "" {
		return
	}
	var helpers sync.WaitGroup
	for k, result := range results {
		helpers.Add(1)
		go func() {
			defer helpers.Done()
			h := q
			h.session, h.parent, h.body = fmt.Sprintf("%s-%d", id, k), first, toolTurn+result
			t.take(h, aimAt)
		}()
	}
	helpers.Wait()
	q.parent, q.body = first, toolTurn+fmt.Sprintf("Result: %08x", t.world.random())
	t.take(q, aimAt)
}

// ordinary returns the results of tools that harm no replica.
func (t *turns) ordinary() []string {
	return []string{fmt.Sprintf("Result: %08x", t.world.random()), fmt.Sprintf("Result: %08x", t.world.random())}
}

// condemned lets one program send three turns that crash the replicas that run them, and checks
// LOST for the turns of other programs.
func condemned(w *world, trouble bool) bool {
	zones := []string{"a", "b", "c"}
	for n := range 20 {
		w.replicas = append(w.replicas, newReplica(w, replicaOptions{
			service: "agents", zone: zones[n%len(zones)], slots: 12, stream: true,
			pace:    func([]byte) (int, time.Duration) { return 10, 20 * time.Millisecond },
			crashes: func(body []byte) bool { return trouble && bytes.Contains(body, []byte(poison)) },
		}))
	}
	w.configure(1, []map[string]any{service("agents", true)}, []map[string]any{{
		"name": "turns", "hostname": host, "prefix": "/turns/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
		"service": "agents", "max_attempts": 2, "retain": true, "retention_s": 60.0, "sticky": true, "resumable": false, "gap_target_ms": 300,
	}})
	for n := range 12 {
		w.addDaemon(zones[n%len(zones)], zones)
	}
	w.begin()
	t := &turns{world: w, answered: map[string]time.Time{}}
	t.program(1, t.ordinary()...)
	t.program(2, t.ordinary()...)
	time.Sleep(11 * time.Second)
	t.program(3, poison+"result 1", poison+"result 2", poison+"result 3")
	calmAt := time.Now().Add(w.crashBack + stableWindow)
	var programs sync.WaitGroup
	fullest := 0.0
	for n := 4; time.Until(calmAt) > -20*time.Second; n++ {
		programs.Add(1)
		go func() {
			defer programs.Done()
			t.program(n, t.ordinary()...)
		}()
		time.Sleep(500 * time.Millisecond)
		if time.Now().After(calmAt) {
			fullest = max(fullest, w.fill())
		}
	}
	programs.Wait()
	return t.check(calmAt, fullest)
}

// check judges the tries that were sent after a time.
func (t *turns) check(calmAt time.Time, fullest float64) bool {
	reached := map[string]bool{}
	for _, r := range t.world.arrivals() {
		reached[r.id] = true
	}
	first, firstReached, later, laterReached := 0, 0, 0, 0
	missed, served := map[string]int{}, map[string]bool{}
	for _, x := range t.tries {
		if !x.sentAt.After(calmAt) || x.sentAt.After(x.aimAt) {
			continue
		}
		if x.parent == "" {
			first++
			if reached[x.id] {
				firstReached++
			}
			continue
		}
		if at, ok := t.answered[x.parent]; !ok || x.sentAt.Sub(at) > retention {
			continue
		}
		later++
		if reached[x.id] {
			laterReached++
			served[x.parent] = true
		} else {
			missed[x.parent]++
		}
	}
	lost := 0
	for parent, n := range missed {
		if n >= 5 && !served[parent] {
			lost++
		}
	}
	t.world.verdict("first turns: %d tries, %d reached a replica; turns that continue an answered turn: %d tries, %d reached a replica; most slots in use: %.2f", first, firstReached, later, laterReached, fullest)
	t.world.verdict("answered turns that were named in five tries or more, none of which reached a replica: %d", lost)
	return lost == 0 || fullest >= 0.5 || 10*firstReached < 9*first
}
