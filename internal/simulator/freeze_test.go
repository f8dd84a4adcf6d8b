package simulator_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// freezer freezes the node that makes the nth remote call of a method, right before the
// call is sent, and thaws it after duration.
type freezer struct {
	mu         sync.Mutex
	deployment *deployment
	method     string
	remaining  int
	duration   time.Duration
}

func (f *freezer) onCall(from, method string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if method != f.method {
		return
	}
	f.remaining--
	if f.remaining == 0 {
		f.deployment.network.freeze(from)
		time.AfterFunc(f.duration, func() { f.deployment.network.thaw(from) })
	}
}

// TestFreezeBetweenTheStepsOfACall freezes the entry daemon right before a step of a call,
// for longer than its ticket or its lease is valid. The work that it does after the thaw
// must not run a call after a later one and must not be recorded.
func TestFreezeBetweenTheStepsOfACall(t *testing.T) {
	for _, method := range []string{"Sequencer.Begin", "Allocator.Acquire", "Sequencer.Finish", "Sequencer.Renew", "Limiter.Ask"} {
		for _, span := range []time.Duration{18 * time.Second, 22 * time.Second, 45 * time.Second} {
			for _, id := range []string{"order-1", "order-2", "order-3", "order-4", "order-5", "order-6"} {
				t.Run(method+" "+span.String()+" "+id, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runFreeze(t, method, span, id) })
				})
			}
		}
	}
}

func runFreeze(t *testing.T, method string, span time.Duration, id string) {
	dp := newDeployment(declarations(), 4)
	defer dp.close()
	time.Sleep(20 * time.Second)
	f := &freezer{deployment: dp, method: method, remaining: 1, duration: span}
	dp.network.onCall = f.onCall
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	c := &client{deployment: dp, account: "falaj", id: id, budget: 5000, steps: []step{{Effect: true}, {Effect: true}, {}, {Effect: true}}}
	c.run(ctx)
	time.Sleep(2 * time.Minute)
	if violation := dp.checkGuarantees([]*client{c}); violation != "" {
		t.Error(violation)
	}
	if len(c.result) < len(c.steps) {
		t.Errorf("the program stopped after %d calls", len(c.result))
	}
}
