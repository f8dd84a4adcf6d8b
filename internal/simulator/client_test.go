package simulator_test

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
	answerTokens   = 12
	attemptTimeout = 15 * time.Second
)

// step is one call of a program.
type step struct {
	Effect bool
	// Twice sends the same call through two nodes concurrently.
	Twice bool
	// Pause is the time before the call.
	Pause time.Duration
}

// result is the final result of a call as its client received it.
type result struct {
	ran    classifier.Ran
	text   string
	finish string
	code   classifier.Code
}

// client runs one program through any reachable node and retries calls as the client
// library does.
type client struct {
	deployment *deployment
	account    string
	id         string
	budget     int
	steps      []step
	mu         sync.Mutex
	// result holds the result of each call made so far.
	result   []result
	nextNode int
	created  bool
	conflict string
}

func (c *client) name() sequencer.Name { return sequencer.Name{Account: c.account, ID: c.id} }

func (c *client) body(n int) string { return fmt.Sprintf("%s/%s/%d", c.account, c.id, n) }

// node returns the next reachable node, as a load balancer would.
func (c *client) node() *node {
	nodes := c.deployment.reachableNodes()
	if len(nodes) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextNode++
	return nodes[c.nextNode%len(nodes)]
}

func (c *client) run(ctx context.Context) {
	for !c.created && ctx.Err() == nil {
		c.created = c.create(ctx)
	}
	for i, s := range c.steps {
		time.Sleep(s.Pause)
		r := c.call(ctx, i+1, s)
		c.result = append(c.result, r)
		if r.ran == classifier.RanNo || (r.ran == classifier.RanUnknown && !s.Effect) {
			return
		}
	}
}

func (c *client) create(ctx context.Context) bool {
	n := c.node()
	if n == nil {
		time.Sleep(time.Second)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, f := n.conductor.Create(ctx, sequencer.CreateRequest{Name: c.name(), Budget: c.budget})
	if f != nil {
		time.Sleep(time.Second)
	}
	return f == nil
}

// pendingCall is a call in progress at a node.
type pendingCall struct {
	outcome *sequencer.Outcome
	fault   *classifier.Fault
	done    chan struct{}
}

func (p *pendingCall) run(ctx context.Context, n *node, call *conductor.Call) {
	p.outcome, p.fault = n.conductor.Run(ctx, call)
	close(p.done)
}

// attempt sends a call through a node. If the node is killed or takes too long, the
// outcome of the call is in doubt.
func (c *client) attempt(ctx context.Context, number int, s step) (*sequencer.Outcome, *classifier.Fault) {
	inDoubt := classifier.New(classifier.Doubt, classifier.RanUnknown, "connection lost")
	n := c.node()
	if n == nil {
		time.Sleep(time.Second)
		return nil, classifier.New(classifier.OwnerAway, classifier.RanNo, "no node is reachable")
	}
	target := "ledger"
	if !s.Effect {
		target = "chat"
	}
	t, ok := n.watcher.Snapshot().Target(target)
	if !ok {
		time.Sleep(time.Second)
		return nil, classifier.New(classifier.ConfigUnsure, classifier.RanNo, "node has no declarations")
	}
	snapshot := n.watcher.Snapshot()
	call := &conductor.Call{Program: c.id, Number: number, Key: c.body(number), Target: t, Hash: c.body(number)}
	for _, a := range declarations().Accounts {
		if a.Name == c.account {
			call.Account = a
		}
	}
	_ = snapshot
	if s.Effect {
		call.Body = []byte(c.body(number))
	} else {
		m, _ := json.Marshal(map[string]string{"role": "user", "content": c.body(number)})
		call.Messages, call.MaxTokens = []json.RawMessage{m}, 2*answerTokens
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	a := &pendingCall{done: make(chan struct{})}
	go a.run(ctx, n, call)
	select {
	case <-a.done:
		return a.outcome, a.fault
	case <-n.departed:
		// A planned stop finishes its calls; a killed node never replies.
		select {
		case <-a.done:
			if !c.killed(n) {
				return a.outcome, a.fault
			}
		case <-time.After(attemptTimeout):
		}
		return nil, inDoubt
	case <-time.After(attemptTimeout):
		return nil, inDoubt
	}
}

func (c *client) killed(n *node) bool {
	c.deployment.network.mu.Lock()
	defer c.deployment.network.mu.Unlock()
	return c.deployment.network.dead[n.address]
}

// call retries a call until it has an outcome or ctx is done. With Twice, it sends the
// call twice concurrently and returns the more certain result.
func (c *client) call(ctx context.Context, number int, s step) result {
	if s.Twice {
		second := &duplicateCall{client: c, number: number, step: s, done: make(chan result, 1)}
		go second.run(ctx)
		first := c.callOnce(ctx, number, s)
		other := <-second.done
		if first.ran == classifier.RanYes && other.ran == classifier.RanYes && first.text != other.text {
			c.conflict = fmt.Sprintf("call %d: two different answers %q and %q", number, first.text, other.text)
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

// duplicateCall sends a call a second time, concurrently with the first.
type duplicateCall struct {
	client *client
	number int
	step   step
	done   chan result
}

func (d *duplicateCall) run(ctx context.Context) { d.done <- d.client.callOnce(ctx, d.number, d.step) }

// callOnce retries a call until it has an outcome. Once an attempt may have run, the
// result is unknown unless a later attempt brings the outcome.
func (c *client) callOnce(ctx context.Context, number int, s step) result {
	inDoubt := false
	for {
		out, f := c.attempt(ctx, number, s)
		if f == nil {
			return result{ran: classifier.RanYes, text: string(out.Content), finish: out.Finish}
		}
		if f.Code == classifier.OutcomeUnknown {
			return result{ran: classifier.RanUnknown, code: f.Code}
		}
		inDoubt = inDoubt || f.Ran != classifier.RanNo
		ran := f.Ran
		if inDoubt {
			ran = classifier.RanUnknown
		}
		final := f.Code == classifier.BudgetExhausted || f.Code == classifier.CallReused || f.Code == classifier.ProgramEnded
		if ctx.Err() != nil || final {
			return result{ran: ran, code: f.Code}
		}
		time.Sleep(max(100*time.Millisecond, f.RetryAfter()))
	}
}

// isExpected reports whether a result holds the expected answer. A model's answer may be
// a prefix of it only if its finish reason is "length".
func (c *client) isExpected(number int, s step, r result) bool {
	if s.Effect {
		return r.text == "did "+c.body(number)
	}
	want := emulator.AnswerTo(c.body(number), answerTokens)
	if r.finish == "length" {
		return strings.HasPrefix(want, r.text)
	}
	return r.text == want
}
