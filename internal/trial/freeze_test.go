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
// longer than ticket and lease live: its late work must neither run a call
// after a later one nor count.
func TestFreezeBetweenTheStepsOfACall(t *testing.T) {
	for _, method := range []string{"Sequencer.Begin", "Allocator.Acquire", "Sequencer.Finish", "Sequencer.Renew", "Limiter.Ask"} {
		for _, nodes := range []int{2, 3, 4} {
			t.Run(method, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newDeployment(declarations(), nodes)
					time.Sleep(20 * time.Second)
					f := &freezer{deployment: w, method: method, left: 1, span: 45 * time.Second}
					w.network.onCall = f.see
					ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
					defer cancel()
					c := &customer{deployment: w, account: "falaj", id: "order", budget: 5000, steps: []step{{Effect: true}, {Effect: true}, {}, {Effect: true}}}
					c.run(ctx)
					time.Sleep(2 * time.Minute)
					if broken := w.judge([]*customer{c}); broken != "" {
						t.Error(broken)
					}
					if len(c.told) < len(c.steps) {
						t.Errorf("the program stopped after %d calls", len(c.told))
					}
					w.close()
				})
			})
		}
	}
}
