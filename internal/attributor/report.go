package attributor

import (
	"bufio"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const maxLineBytes = 1 << 20

// program sums the requests of one program and the time spent in each phase.
type program struct {
	turns, calls, retries, failed int
	// opening is the time to load the history and reserve the budget, queueing the time
	// from then to the first event, and streaming the time after that. toolCalls is the
	// time of requests that are not turns, untilRefusal the time of refused requests.
	opening, queueing, streaming, toolCalls, untilRefusal time.Duration
	late                                                  bool
}

// Report holds the time that each program spent in each phase of its requests.
type Report struct {
	programs map[string]*program
}

// Read builds a report from the log lines of any number of daemons.
func Read(r io.Reader) (*Report, error) {
	report := &Report{programs: map[string]*program{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if l, ok := parseLine(lines.Text()); ok {
			report.add(l)
		}
	}
	return report, errors.Wrap(lines.Err(), "read log")
}

func (r *Report) add(l line) {
	p := r.programs[l.program]
	if p == nil {
		p = &program{}
		r.programs[l.program] = p
	}
	if l.hasDeadline && l.remaining < 0 {
		p.late = true
	}
	if l.failed {
		p.failed++
	}
	p.retries += max(0, l.attempts-1)
	switch {
	case l.event == "refused":
		p.untilRefusal += l.took
	case l.isTurn:
		p.turns++
		p.opening += l.opened
		p.queueing += max(0, l.first-l.opened)
		p.streaming += max(0, l.took-max(l.first, l.opened))
	default:
		p.calls++
		p.toolCalls += l.took
	}
}

// row is one row of the printed report and its value for one program.
type row struct {
	name  string
	value func(p *program) float64
}

var rows = []row{
	{"turns", func(p *program) float64 { return float64(p.turns) }},
	{"calls", func(p *program) float64 { return float64(p.calls) }},
	{"further attempts", func(p *program) float64 { return float64(p.retries) }},
	{"failed requests", func(p *program) float64 { return float64(p.failed) }},
	{"history and budget, ms", func(p *program) float64 { return inMilliseconds(p.opening) }},
	{"until the first event, ms", func(p *program) float64 { return inMilliseconds(p.queueing) }},
	{"events and keeping, ms", func(p *program) float64 { return inMilliseconds(p.streaming) }},
	{"calls of tools, ms", func(p *program) float64 { return inMilliseconds(p.toolCalls) }},
	{"until refusals, ms", func(p *program) float64 { return inMilliseconds(p.untilRefusal) }},
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Write prints the mean of each row over the programs that met their deadline and over
// those that missed it.
func (r *Report) Write(w io.Writer) error {
	var counts [2]int // programs that met their deadline, programs that missed it
	sums := make([][2]float64, len(rows))
	for _, p := range r.programs {
		column := 0
		if p.late {
			column = 1
		}
		counts[column]++
		for i, x := range rows {
			sums[i][column] += x.value(p)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\tin time\tlate\t\nprograms\t%d\t%d\t\n", counts[0], counts[1])
	for i, x := range rows {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t\n", x.name, sums[i][0]/float64(max(1, counts[0])), sums[i][1]/float64(max(1, counts[1])))
	}
	return errors.Wrap(t.Flush(), "write report")
}
