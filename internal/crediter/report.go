package crediter

import (
	"bufio"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// program is where the time of one program went.
type program struct {
	turns, calls, retries, failed int
	// opening is for history and budget, queueing until the first event after that,
	// streaming from then on, calling for calls of tools.
	opening, queueing, streaming, calling, refusing time.Duration
	late                                            bool
}

// Report is where the time of programs went.
type Report struct {
	programs map[string]*program
}

// Read reads log lines of any number of daemons.
func Read(r io.Reader) (*Report, error) {
	p := &Report{programs: map[string]*program{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if l, ok := parse(lines.Text()); ok {
			p.take(l)
		}
	}
	return p, errors.Wrap(lines.Err(), "read log")
}

func (r *Report) take(l line) {
	p := r.programs[l.program]
	if p == nil {
		p = &program{}
		r.programs[l.program] = p
	}
	if l.timed && l.left < 0 {
		p.late = true
	}
	if l.failed {
		p.failed++
	}
	p.retries += max(0, l.attempts-1)
	switch {
	case l.what == "refused":
		p.refusing += l.took
	case l.turn:
		p.turns++
		p.opening += l.opened
		p.queueing += max(0, l.first-l.opened)
		p.streaming += max(0, l.took-max(l.first, l.opened))
	default:
		p.calls++
		p.calling += l.took
	}
}

// row is one line of the report.
type row struct {
	name string
	of   func(p *program) float64
}

var rows = []row{
	{"turns", func(p *program) float64 { return float64(p.turns) }},
	{"calls", func(p *program) float64 { return float64(p.calls) }},
	{"further attempts", func(p *program) float64 { return float64(p.retries) }},
	{"failed requests", func(p *program) float64 { return float64(p.failed) }},
	{"history and budget, ms", func(p *program) float64 { return inMilliseconds(p.opening) }},
	{"until the first event, ms", func(p *program) float64 { return inMilliseconds(p.queueing) }},
	{"events and keeping, ms", func(p *program) float64 { return inMilliseconds(p.streaming) }},
	{"calls of tools, ms", func(p *program) float64 { return inMilliseconds(p.calling) }},
	{"until refusals, ms", func(p *program) float64 { return inMilliseconds(p.refusing) }},
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Write prints the mean of each row a program, of those in time and of those late.
func (r *Report) Write(w io.Writer) error {
	var count [2]int
	sums := make([][2]float64, len(rows))
	for _, p := range r.programs {
		k := 0
		if p.late {
			k = 1
		}
		count[k]++
		for i, x := range rows {
			sums[i][k] += x.of(p)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\tin time\tlate\t\nprograms\t%d\t%d\t\n", count[0], count[1])
	for i, x := range rows {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t\n", x.name, sums[i][0]/float64(max(1, count[0])), sums[i][1]/float64(max(1, count[1])))
	}
	return errors.Wrap(t.Flush(), "write report")
}
