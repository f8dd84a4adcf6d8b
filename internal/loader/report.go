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
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	maxViolations     = 20
)

// Quantiles holds latency percentiles in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// Report holds the results of a run.
type Report struct {
	Programs int       `json:"programs"`
	Finished int       `json:"finished"`
	Failed   int       `json:"failed"`
	Latency  Quantiles `json:"latency"`
	// ShortLatency is the latency of all programs that are not stragglers.
	ShortLatency    Quantiles      `json:"short-latency"`
	FirstToken      Quantiles      `json:"first-token"`
	Refusals        map[string]int `json:"refusals"`
	UnknownOutcomes int            `json:"unknown-outcomes"`
	Tokens          int            `json:"tokens"`
	// NewPromptTokens is the number of prompt tokens that no engine can have in its cache.
	NewPromptTokens int `json:"new-prompt-tokens"`
	// Doubled counts the executions of side effects beyond the first.
	Doubled   int `json:"doubled-side-effects"`
	LostTurns int `json:"lost-turns"`
	// NotRunButRan counts calls that were reported as not run but had their effect.
	NotRunButRan int `json:"not-run-but-ran"`
	// RanButNoEffect counts calls that were reported as run but had no effect.
	RanButNoEffect int `json:"ran-but-no-effect"`
	// Violations describes the violated guarantees, at most maxViolations of them.
	Violations []string    `json:"broken-promises"`
	Seconds    float64     `json:"seconds"`
	ByAccount  map[int]int `json:"finished-by-account"`
}

// recorder collects the report of a run from its concurrent programs.
type recorder struct {
	mu                sync.Mutex
	report            Report
	latency           *hdrhistogram.Histogram
	shortLatency      *hdrhistogram.Histogram
	firstTokenLatency *hdrhistogram.Histogram
	reportedEffects   map[string]reportedEffect
}

// reportedEffect is the outcome that a caller got for one call with a side effect.
type reportedEffect struct {
	target string
	ran    classifier.Ran
}

func newRecorder(programs int) *recorder {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	return &recorder{
		report:  Report{Programs: programs, Refusals: map[string]int{}, ByAccount: map[int]int{}},
		latency: h(), shortLatency: h(), firstTokenLatency: h(), reportedEffects: map[string]reportedEffect{},
	}
}

func (c *recorder) programFinished(p *Program, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Finished++
	c.report.ByAccount[p.Account]++
	_ = c.latency.RecordValue(took.Microseconds())
	if !p.Straggler {
		_ = c.shortLatency.RecordValue(took.Microseconds())
	}
}

func (c *recorder) programFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Failed++
	c.report.Refusals[classifier.From(err).Code.String()]++
}

func (c *recorder) recordFirstToken(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.firstTokenLatency.RecordValue(d.Microseconds())
}

func (c *recorder) addTokens(generated, prompt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Tokens += generated
	c.report.NewPromptTokens += prompt
}

func (c *recorder) effectReported(body, target string, ran classifier.Ran) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportedEffects[body] = reportedEffect{target, ran}
	if ran == classifier.RanUnknown {
		c.report.UnknownOutcomes++
	}
}

func (c *recorder) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.report.Violations) < maxViolations {
		c.report.Violations = append(c.report.Violations, fmt.Sprintf(format, args...))
	}
}

func (c *recorder) addLostTurns(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.LostTurns += n
}

// checkEffects compares the outcomes that callers got with the effects at the services.
func (c *recorder) checkEffects(effects map[string]int) {
	for body, n := range effects {
		if n > 1 {
			c.report.Doubled += n - 1
			c.violation("call %s had its effect %d times", body, n)
		}
	}
	for body, e := range c.reportedEffects {
		switch {
		case e.ran == classifier.RanNo && effects[body] > 0:
			c.report.NotRunButRan++
			c.violation("call %s ran but was reported as not run", body)
		case e.ran == classifier.RanYes && effects[body] == 0:
			c.report.RanButNoEffect++
			c.violation("call %s did not run but was reported as run", body)
		}
	}
}

func (c *recorder) result(took time.Duration) Report {
	c.report.Latency = quantiles(c.latency)
	c.report.ShortLatency = quantiles(c.shortLatency)
	c.report.FirstToken = quantiles(c.firstTokenLatency)
	c.report.Seconds = took.Seconds()
	sort.Strings(c.report.Violations)
	return c.report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// Table writes the report as a human-readable table.
func (r Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("programs finished", "%d of %d", r.Finished, r.Programs)
	row("programs failed", "%d %v", r.Failed, r.Refusals)
	row("whole program p50 / p95 / p99", "%.0f / %.0f / %.0f ms", r.Latency.P50, r.Latency.P95, r.Latency.P99)
	row("short programs p50 / p95 / p99", "%.0f / %.0f / %.0f ms", r.ShortLatency.P50, r.ShortLatency.P95, r.ShortLatency.P99)
	row("first token p50 / p95 / p99", "%.0f / %.0f / %.0f ms", r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99)
	row("tokens", "%d in %.1f s", r.Tokens, r.Seconds)
	row("unknown outcomes", "%d", r.UnknownOutcomes)
	row("doubled side effects", "%d", r.Doubled)
	row("lost turns", "%d", r.LostTurns)
	row("reported as not run, but ran", "%d", r.NotRunButRan)
	row("reported as run, but did not run", "%d", r.RanButNoEffect)
	for _, b := range r.Violations {
		row("broken promise", "%s", b)
	}
	return t.Flush()
}
