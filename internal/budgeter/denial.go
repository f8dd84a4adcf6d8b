package budgeter

import (
	"slices"
	"strings"
)

// Denial is an ErrExhausted that names the processes which hold tokens of the program.
type Denial struct {
	processes []string
}

// Processes returns the other processes that hold tokens of the program, those that hold the
// most first. Some of their tokens may be unused.
func (d *Denial) Processes() []string { return d.processes }

// Error implements error.
func (d *Denial) Error() string { return ErrExhausted.Error() }

// Unwrap returns ErrExhausted.
func (d *Denial) Unwrap() error { return ErrExhausted }

// newDenial returns the denial of a turn by a row.
func newDenial(r row, process string) *Denial {
	held := map[string]int{}
	for holder, tokens := range r.Held {
		if p := processOf(holder); p != process && tokens > 0 {
			held[p] += tokens
		}
	}
	d := &Denial{}
	for p := range held {
		d.processes = append(d.processes, p)
	}
	slices.SortFunc(d.processes, func(a, b string) int {
		if held[a] != held[b] {
			return held[b] - held[a]
		}
		return strings.Compare(a, b)
	})
	return d
}

// processOf returns the name of the process of a holder, which has the form PROCESS.NUMBER.
func processOf(holder string) string {
	if i := strings.LastIndexByte(holder, '.'); i >= 0 {
		return holder[:i]
	}
	return holder
}
