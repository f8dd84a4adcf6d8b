//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// budgetTurns is how many turns of the largest size a program's budget covers.
	budgetTurns = 8
	// turnPause is the pause after a turn, and settleTime that before the last turn: settle_ms of
	// the settings, and a little more.
	turnPause  = 500 * time.Millisecond
	settleTime = 1200 * time.Millisecond
	// maxDenied and deniedShare are how many requests may be denied.
	maxDenied   = 5
	deniedShare = 500
)

// moved lets half of the clients move to another zone after the first turns of their programs,
// and checks DENIED: no turn gets 402 that the budget covers.
func moved(w *world, trouble bool) bool {
	zones := []string{"a", "b"}
	for n := range 8 {
		w.replicas = append(w.replicas, newReplica(w, replicaOptions{
			service: "agents", zone: zones[n%2], slots: 12, stream: true,
			pace: func([]byte) (int, time.Duration) { return turnTokens / eventTokens, 10 * time.Millisecond },
		}))
	}
	w.configure(1, []map[string]any{service("agents", true)}, []map[string]any{{
		"name": "turns", "hostname": host, "prefix": "/turns/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
		"service": "agents", "max_attempts": 2, "retain": true, "retention_s": 60.0, "sticky": true, "resumable": false, "gap_target_ms": 300,
	}})
	for n := range 4 {
		w.addDaemon(zones[n%2], zones)
	}
	w.begin()
	var programs sync.WaitGroup
	var mu sync.Mutex
	sent, denied := 0, 0
	for n := range 40 {
		programs.Add(1)
		go func() {
			defer programs.Done()
			moves := trouble && n%4 < 2
			zone, spent := n%2, 0
			id := fmt.Sprintf("p%d-%06x", n, w.random()&0xffffff)
			q := request{path: "/turns/1", timeout: turnTimeout, finish: 30 * time.Second, program: id, session: id, turn: true, budget: budgetTurns * turnTokens, tokens: turnTokens}
			for k := range budgetTurns {
				q.body = fmt.Sprintf("Question %d of program %d: %08x", k, n, w.random())
				// The daemons of the zones take turns in the list.
				a := w.send(w.daemons[2*int(w.random()%2)+zone], q)
				mu.Lock()
				sent++
				// Only the last turn begins settle_ms after the end of the one before.
				if a.status == 402 && spent+turnTokens <= q.budget && k == budgetTurns-1 {
					denied++
					w.note("program %s has generated %d of %d tokens, and is denied a turn of %d", id, spent, q.budget, turnTokens)
				}
				mu.Unlock()
				if !a.whole {
					return
				}
				spent += turnTokens
				q.parent = a.id
				if moves {
					zone, moves = 1-zone, false
				}
				if time.Sleep(turnPause); k == budgetTurns-2 {
					time.Sleep(settleTime - turnPause)
				}
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	programs.Wait()
	w.verdict("%d turns; %d got 402 though the budget covers them and all turns before ended whole at least %v before", sent, denied, settleTime)
	return denied*deniedShare <= maxDenied*deniedShare+sent
}
