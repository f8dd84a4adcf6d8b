package loader

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Run is the content of one result file: a report and the counts of the engines.
type Run struct {
	Report  Report `json:"report"`
	Engines []struct {
		Prefilled int `json:"prefilled-tokens"`
	} `json:"engines"`
}

// recomputedTokens returns the number of prompt tokens that were computed more than once.
func (r *Run) recomputedTokens() float64 {
	sum := -r.Report.NewPromptTokens
	for _, e := range r.Engines {
		sum += e.Prefilled
	}
	return float64(sum)
}

// column is a metric of a run.
type column struct {
	name  string
	value func(r *Run) float64
}

var columns = []column{
	{"p50 ms", func(r *Run) float64 { return r.Report.Latency.P50 }},
	{"p95 ms", func(r *Run) float64 { return r.Report.Latency.P95 }},
	{"p99 ms", func(r *Run) float64 { return r.Report.Latency.P99 }},
	{"short p99 ms", func(r *Run) float64 { return r.Report.ShortLatency.P99 }},
	{"first token p95 ms", func(r *Run) float64 { return r.Report.FirstToken.P95 }},
	{"computed again", (*Run).recomputedTokens},
	{"finished", func(r *Run) float64 { return float64(r.Report.Finished) }},
	{"broken", func(r *Run) float64 { return float64(len(r.Report.Violations)) }},
}

// Summarize writes the median and range of each metric over the runs in a folder. The
// name of a file is MEASURE-VARIANT-SEED.json. MEASURE names the workload and VARIANT the
// policies, as in scripts/variant.sh.
func Summarize(dir string, w io.Writer) error {
	runs, err := readRuns(dir)
	if err != nil {
		return err
	}
	names := make([]string, 0, len(runs))
	for n := range runs {
		names = append(names, n)
	}
	slices.Sort(names)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprint(t, "RUNS\tSEEDS")
	for _, c := range columns {
		fmt.Fprintf(t, "\t%s", strings.ToUpper(c.name))
	}
	fmt.Fprintln(t)
	for _, n := range names {
		fmt.Fprintf(t, "%s\t%d", n, len(runs[n]))
		for _, c := range columns {
			fmt.Fprintf(t, "\t%s", medianAndRange(runs[n], c.value))
		}
		fmt.Fprintln(t)
	}
	return errors.Wrap(t.Flush(), "write summary")
}

// readRuns returns the runs in a folder, keyed by MEASURE-VARIANT.
func readRuns(dir string) (map[string][]*Run, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "list runs")
	}
	runs := map[string][]*Run{}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Wrap(err, "read run")
		}
		var r Run
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, errors.Wrap(err, f)
		}
		name := strings.TrimSuffix(filepath.Base(f), ".json")
		name = name[:max(0, strings.LastIndexByte(name, '-'))]
		runs[name] = append(runs[name], &r)
	}
	return runs, nil
}

// medianAndRange returns the median, followed by the minimum and maximum if they differ.
func medianAndRange(runs []*Run, value func(*Run) float64) string {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = value(r)
	}
	slices.Sort(values)
	median := values[(len(values)-1)/2]
	if len(values)%2 == 0 {
		median = (median + values[len(values)/2]) / 2
	}
	if values[0] == values[len(values)-1] {
		return fmt.Sprintf("%.0f", median)
	}
	return fmt.Sprintf("%.0f (%.0f..%.0f)", median, values[0], values[len(values)-1])
}
