package loader

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	maxLatency = 10 * time.Minute
	digits     = 3
	maxBroken  = 20
)

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// Report is what came of a run.
type Report struct {
	Programs  int            `json:"programs"`
	Finished  int            `json:"finished"`
	Failed    int            `json:"failed"`
	Latency   Quantiles      `json:"latency"`
	Short     Quantiles      `json:"short-latency"`
	FirstSeen Quantiles      `json:"first-token"`
	Refusals  map[string]int `json:"refusals"`
	Unknown   int            `json:"unknown-outcomes"`
	Tokens    int            `json:"tokens"`
	// NewPrompt is the number of prompt tokens that no engine can have cached.
	NewPrompt int         `json:"new-prompt-tokens"`
	Doubled   int         `json:"doubled-side-effects"`
	LostTurns int         `json:"lost-turns"`
	NotRunRan int         `json:"not-run-but-ran"`
	Missing   int         `json:"ran-but-no-effect"`
	Broken    []string    `json:"broken-promises"`
	Seconds   float64     `json:"seconds"`
	ByAccount map[int]int `json:"finished-by-account"`
}

// recorder gathers a report from many players.
type recorder struct {
	mu      sync.Mutex
	report  Report
	whole   *hdrhistogram.Histogram
	short   *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	effects map[string]effect
}

// effect is what the callers were told of one call with a side effect.
type effect struct {
	target string
	ran    classifier.Ran
}

func newRecorder(programs int) *recorder {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
	}
	return &recorder{
		report: Report{Programs: programs, Refusals: map[string]int{}, ByAccount: map[int]int{}},
		whole:  h(), short: h(), first: h(), effects: map[string]effect{},
	}
}

func (c *recorder) finished(p *Program, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Finished++
	c.report.ByAccount[p.Account]++
	_ = c.whole.RecordValue(took.Microseconds())
	if !p.Long {
		_ = c.short.RecordValue(took.Microseconds())
	}
}

func (c *recorder) failed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Failed++
	c.report.Refusals[classifier.From(err).Code.String()]++
}

func (c *recorder) firstToken(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.first.RecordValue(d.Microseconds())
}

func (c *recorder) tokens(generated, prompt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Tokens += generated
	c.report.NewPrompt += prompt
}

func (c *recorder) told(body, target string, ran classifier.Ran) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.effects[body] = effect{target, ran}
	if ran == classifier.RanUnknown {
		c.report.Unknown++
	}
}

func (c *recorder) broke(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.report.Broken) < maxBroken {
		c.report.Broken = append(c.report.Broken, fmt.Sprintf(format, args...))
	}
}

func (c *recorder) lostTurns(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.LostTurns += n
}

// judge compares what callers were told with the effects at the services.
func (c *recorder) judge(effects map[string]int) {
	for body, n := range effects {
		if n > 1 {
			c.report.Doubled += n - 1
			c.broke("%s had its effect %d times", body, n)
		}
	}
	for body, e := range c.effects {
		switch {
		case e.ran == classifier.RanNo && effects[body] > 0:
			c.report.NotRunRan++
			c.broke("%s ran, and the caller was told that it did not", body)
		case e.ran == classifier.RanYes && effects[body] == 0:
			c.report.Missing++
			c.broke("%s did not run, and the caller was told that it did", body)
		}
	}
}

func (c *recorder) close(took time.Duration) Report {
	c.report.Latency = quantiles(c.whole)
	c.report.Short = quantiles(c.short)
	c.report.FirstSeen = quantiles(c.first)
	c.report.Seconds = took.Seconds()
	sort.Strings(c.report.Broken)
	return c.report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// Table writes the report for a person.
func (r Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("programs finished", "%d of %d", r.Finished, r.Programs)
	row("programs failed", "%d %v", r.Failed, r.Refusals)
	row("whole program p50 / p95 / p99", "%.0f / %.0f / %.0f ms", r.Latency.P50, r.Latency.P95, r.Latency.P99)
	row("short programs p50 / p95 / p99", "%.0f / %.0f / %.0f ms", r.Short.P50, r.Short.P95, r.Short.P99)
	row("first token p50 / p95 / p99", "%.0f / %.0f / %.0f ms", r.FirstSeen.P50, r.FirstSeen.P95, r.FirstSeen.P99)
	row("tokens", "%d in %.1f s", r.Tokens, r.Seconds)
	row("unknown outcomes", "%d", r.Unknown)
	row("doubled side effects", "%d", r.Doubled)
	row("lost turns", "%d", r.LostTurns)
	row("told not run, but ran", "%d", r.NotRunRan)
	row("told ran, but did not", "%d", r.Missing)
	for _, b := range r.Broken {
		row("broken promise", "%s", b)
	}
	return t.Flush()
}
