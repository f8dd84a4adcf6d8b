package trial_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/conductor"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	answerTokens = 12
	tryLimit     = 15 * time.Second
)

// step is one call of a customer's program.
type step struct {
	Effect bool
	// Twice sends the same call through two nodes at once.
	Twice bool
	// Pause is the time before the call.
	Pause time.Duration
}

// told is what a customer was told of a call in the end.
type told struct {
	ran    classifier.Ran
	text   string
	finish string
	code   classifier.Code
}

// customer runs one program through any node, and repeats calls as the client library does.
type customer struct {
	deployment *deployment
	account    string
	id         string
	budget     int
	steps      []step
	mu         sync.Mutex
	told       []told
	turn       int
	created    bool
	conflict   string
}

func (c *customer) name() sequencer.Name { return sequencer.Name{Account: c.account, ID: c.id} }

func (c *customer) body(n int) string { return fmt.Sprintf("%s/%s/%d", c.account, c.id, n) }

// node returns the next live node, as a balancer would.
func (c *customer) node() *node {
	alive := c.deployment.alive()
	if len(alive) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	return alive[c.turn%len(alive)]
}

func (c *customer) run(ctx context.Context) {
	for !c.created && ctx.Err() == nil {
		c.created = c.create(ctx)
	}
	for i, s := range c.steps {
		time.Sleep(s.Pause)
		t := c.call(ctx, i+1, s)
		c.told = append(c.told, t)
		if t.ran == classifier.RanNo || (t.ran == classifier.RanUnknown && !s.Effect) {
			return
		}
	}
}

func (c *customer) create(ctx context.Context) bool {
	n := c.node()
	if n == nil {
		time.Sleep(time.Second)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	_, f := n.conductor.Create(ctx, sequencer.CreateRequest{Name: c.name(), Budget: c.budget})
	if f != nil {
		time.Sleep(time.Second)
	}
	return f == nil
}

// attempt is one try through one node.
type attempt struct {
	out   *sequencer.Outcome
	fault *classifier.Fault
	done  chan struct{}
}

func (a *attempt) run(ctx context.Context, n *node, call *conductor.Call) {
	a.out, a.fault = n.conductor.Run(ctx, call)
	close(a.done)
}

// try sends a call through a node; a node that dies or takes too long leaves it in doubt.
func (c *customer) try(ctx context.Context, number int, s step) (*sequencer.Outcome, *classifier.Fault) {
	doubt := classifier.New(classifier.Doubt, classifier.RanUnknown, "connection lost")
	n := c.node()
	if n == nil {
		time.Sleep(time.Second)
		return nil, classifier.New(classifier.OwnerAway, classifier.RanNo, "no node")
	}
	target := "ledger"
	if !s.Effect {
		target = "chat"
	}
	t, ok := n.watcher.Snapshot().Target(target)
	if !ok {
		time.Sleep(time.Second)
		return nil, classifier.New(classifier.ConfigUnsure, classifier.RanNo, "no declarations")
	}
	account := n.watcher.Snapshot()
	call := &conductor.Call{Program: c.id, Number: number, Key: c.body(number), Target: t, Hash: c.body(number)}
	for _, a := range declarations().Accounts {
		if a.Name == c.account {
			call.Account = a
		}
	}
	_ = account
	if s.Effect {
		call.Body = []byte(c.body(number))
	} else {
		m, _ := json.Marshal(map[string]string{"role": "user", "content": c.body(number)})
		call.Messages, call.MaxTokens = []json.RawMessage{m}, 2*answerTokens
	}
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	a := &attempt{done: make(chan struct{})}
	go a.run(ctx, n, call)
	select {
	case <-a.done:
		return a.out, a.fault
	case <-n.gone:
		// A planned stop finishes its calls; a killed node never answers.
		select {
		case <-a.done:
			if !c.dead(n) {
				return a.out, a.fault
			}
		case <-time.After(tryLimit):
		}
		return nil, doubt
	case <-time.After(tryLimit):
		return nil, doubt
	}
}

func (c *customer) dead(n *node) bool {
	c.deployment.network.mu.Lock()
	defer c.deployment.network.mu.Unlock()
	return c.deployment.network.dead[n.address]
}

// call repeats a call until it has an outcome or the context ends.
func (c *customer) call(ctx context.Context, number int, s step) told {
	if s.Twice {
		second := &twin{customer: c, number: number, step: s, done: make(chan told, 1)}
		go second.run(ctx)
		first := c.callOnce(ctx, number, s)
		other := <-second.done
		if first.ran == classifier.RanYes && other.ran == classifier.RanYes && first.text != other.text {
			c.conflict = fmt.Sprintf("call %d: two answers %q and %q", number, first.text, other.text)
		}
		if first.ran != classifier.RanYes && other.ran == classifier.RanYes {
			return other
		}
		if other.ran == classifier.RanUnknown && first.ran == classifier.RanNo {
			return other
		}
		return first
	}
	return c.callOnce(ctx, number, s)
}

// twin is the second sender of a call.
type twin struct {
	customer *customer
	number   int
	step     step
	done     chan told
}

func (w *twin) run(ctx context.Context) { w.done <- w.customer.callOnce(ctx, w.number, w.step) }

func (c *customer) callOnce(ctx context.Context, number int, s step) told {
	doubt := false
	for {
		out, f := c.try(ctx, number, s)
		if f == nil {
			return told{ran: classifier.RanYes, text: string(out.Content), finish: out.Finish}
		}
		if f.Code == classifier.OutcomeUnknown {
			return told{ran: classifier.RanUnknown, code: f.Code}
		}
		doubt = doubt || f.Ran != classifier.RanNo
		ran := f.Ran
		if doubt {
			ran = classifier.RanUnknown
		}
		final := f.Code == classifier.BudgetExhausted || f.Code == classifier.CallReused || f.Code == classifier.ProgramEnded
		if ctx.Err() != nil || final {
			return told{ran: ran, code: f.Code}
		}
		time.Sleep(max(100*time.Millisecond, f.RetryAfter()))
	}
}

// whole reports whether an answer is the one that a call must bring: a model's
// may be shorter only if it says that a limit cut it.
func (c *customer) whole(number int, s step, t told) bool {
	if s.Effect {
		return t.text == "did "+c.body(number)
	}
	want := emulator.AnswerTo(c.body(number), answerTokens)
	if t.finish == "length" {
		return strings.HasPrefix(want, t.text)
	}
	return t.text == want
}
