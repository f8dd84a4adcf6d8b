package trial_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// freezer freezes the node that makes a call of one method for the nth time.
type freezer struct {
	mu         sync.Mutex
	deployment *deployment
	method     string
	left       int
	span       time.Duration
}

func (f *freezer) see(from, method string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if method != f.method {
		return
	}
	f.left--
	if f.left == 0 {
		f.deployment.network.freeze(from)
		time.AfterFunc(f.span, func() { f.deployment.network.thaw(from) })
	}
}

// TestFreezeBetweenTheStepsOfACall freezes the entry right before a step, for
// longer than its ticket or its lease lives: its late work must neither run a
// call after a later one nor count.
func TestFreezeBetweenTheStepsOfACall(t *testing.T) {
	for _, method := range []string{"Sequencer.Begin", "Allocator.Acquire", "Sequencer.Finish", "Sequencer.Renew", "Limiter.Ask"} {
		for _, span := range []time.Duration{18 * time.Second, 22 * time.Second, 45 * time.Second} {
			for _, id := range []string{"order-1", "order-2", "order-3", "order-4", "order-5", "order-6"} {
				t.Run(method+" "+span.String()+" "+id, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playFreeze(t, method, span, id) })
				})
			}
		}
	}
}

func playFreeze(t *testing.T, method string, span time.Duration, id string) {
	w := newDeployment(declarations(), 4)
	defer w.close()
	time.Sleep(20 * time.Second)
	f := &freezer{deployment: w, method: method, left: 1, span: span}
	w.network.onCall = f.see
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	c := &customer{deployment: w, account: "falaj", id: id, budget: 5000, steps: []step{{Effect: true}, {Effect: true}, {}, {Effect: true}}}
	c.run(ctx)
	time.Sleep(2 * time.Minute)
	if broken := w.judge([]*customer{c}); broken != "" {
		t.Error(broken)
	}
	if len(c.told) < len(c.steps) {
		t.Errorf("the program stopped after %d calls", len(c.told))
	}
}
