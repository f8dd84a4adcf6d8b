package sequencer

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// call is the in-flight call of a program; there is at most one.
type call struct {
	ticket            Ticket
	replica           string
	repeatable        bool
	persisted         bool
	expires           time.Time
	pendingSettlement *settlement
}

// program is a program of a tree, loaded into memory.
type program struct {
	name     Name
	row      programRow
	turns    []turnRow
	history  []json.RawMessage
	bytes    int
	openCall *call
	waiting  int
	// wake is closed and replaced when a call ends, which wakes all waiting calls.
	wake chan struct{}
	// idleSince is the end of the last call, or the time of loading if there was none.
	idleSince time.Time
}

func newProgram(n Name, r programRow) *program {
	return &program{name: n, row: r, wake: make(chan struct{}), idleSince: time.Now()}
}

// addTurn appends a committed turn; an answered model call extends the history.
func (p *program) addTurn(t turnRow) {
	p.turns = append(p.turns, t)
	if t.Kind == ModelCall && t.Outcome.Ran == classifier.RanYes {
		p.history = append(p.history, t.Messages...)
		p.history = append(p.history, assistantMessage(t.Outcome.Content))
	}
	p.bytes += len(t.Outcome.Content) + messageBytes(t.Messages)
}

// closeCall clears the in-flight call and wakes the calls that wait for it.
func (p *program) closeCall() {
	p.openCall = nil
	p.idleSince = time.Now()
	close(p.wake)
	p.wake = make(chan struct{})
}

// turn returns the recorded turn with the number or, failing that, the idempotency key.
func (p *program) turn(number int, key string) (*turnRow, bool) {
	if number > 0 && number <= len(p.turns) {
		return &p.turns[number-1], true
	}
	if key == "" {
		return nil, false
	}
	for i := range p.turns {
		if p.turns[i].Key == key {
			return &p.turns[i], true
		}
	}
	return nil, false
}

// tree is a root program and its sub-agents, which share the root's budget.
type tree struct {
	lock     chan struct{}
	root     *program
	programs map[string]*program
	// inFlightTokens is the sum of the reservations of in-flight calls.
	inFlightTokens int
	lastUsed       time.Time
	dropped        atomic.Bool
}

func newTree() *tree {
	return &tree{lock: make(chan struct{}, 1), programs: map[string]*program{}, lastUsed: time.Now()}
}

// remaining returns the tokens of the budget that are neither spent nor reserved.
func (t *tree) remaining() int { return t.root.row.Budget - t.root.row.Spent - t.inFlightTokens }

// busy reports whether a call is in flight or waits.
func (t *tree) busy() bool {
	for _, p := range t.programs {
		if p.openCall != nil || p.waiting > 0 {
			return true
		}
	}
	return false
}

// bytes returns the size of the histories in memory.
func (t *tree) bytes() int {
	n := 0
	for _, p := range t.programs {
		n += p.bytes
	}
	return n
}

func (t *tree) acquire() { t.lock <- struct{}{} }

func (t *tree) release() { <-t.lock }
