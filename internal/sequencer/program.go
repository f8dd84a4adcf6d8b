package sequencer

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// call is the one call of a program that is under way.
type call struct {
	ticket     Ticket
	target     string
	repeatable bool
	persisted  bool
	expires    time.Time
	settling   *settlement
}

// program is a loaded program of a tree.
type program struct {
	name    Name
	row     programRow
	turns   []turnRow
	history []json.RawMessage
	bytes   int
	open    *call
	waiting int
	wake    chan struct{}
	// called is when the last call ended, or when the program was loaded.
	called time.Time
}

func newProgram(n Name, r programRow) *program {
	return &program{name: n, row: r, wake: make(chan struct{}), called: time.Now()}
}

// remember adds a committed turn to the history.
func (p *program) remember(t turnRow) {
	p.turns = append(p.turns, t)
	if t.Kind == ModelCall && t.Outcome.Ran == classifier.RanYes {
		p.history = append(p.history, t.Messages...)
		p.history = append(p.history, assistant(t.Outcome.Content))
	}
	p.bytes += len(t.Outcome.Content) + size(t.Messages)
}

// free ends the call under way and lets the next one try.
func (p *program) free() {
	p.open = nil
	p.called = time.Now()
	close(p.wake)
	p.wake = make(chan struct{})
}

// turn returns the recorded turn of a number or of an idempotency key.
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

// tree is a root program with its sub-agents; they share the root's budget.
type tree struct {
	lock     chan struct{}
	root     *program
	programs map[string]*program
	// inUse is the sum of the reservations of calls under way.
	inUse int
	used  time.Time
	dead  atomic.Bool
}

func newTree() *tree {
	return &tree{lock: make(chan struct{}, 1), programs: map[string]*program{}, used: time.Now()}
}

// room returns the tokens that no call has spent or reserved.
func (t *tree) room() int { return t.root.row.Budget - t.root.row.Spent - t.inUse }

func (t *tree) busy() bool {
	for _, p := range t.programs {
		if p.open != nil || p.waiting > 0 {
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
