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

// Run is one file of a measure: a report with the engines' counts.
type Run struct {
	Report  Report `json:"report"`
	Engines []struct {
		Prefilled int `json:"prefilled-tokens"`
	} `json:"engines"`
}

// again returns the prompt tokens that were computed more than once.
func (r *Run) again() float64 {
	sum := -r.Report.NewPrompt
	for _, e := range r.Engines {
		sum += e.Prefilled
	}
	return float64(sum)
}

// column is one figure of a run.
type column struct {
	name string
	of   func(r *Run) float64
}

var columns = []column{
	{"p50 ms", func(r *Run) float64 { return r.Report.Latency.P50 }},
	{"p95 ms", func(r *Run) float64 { return r.Report.Latency.P95 }},
	{"p99 ms", func(r *Run) float64 { return r.Report.Latency.P99 }},
	{"short p99 ms", func(r *Run) float64 { return r.Report.Short.P99 }},
	{"first token p95 ms", func(r *Run) float64 { return r.Report.FirstSeen.P95 }},
	{"computed again", (*Run).again},
	{"finished", func(r *Run) float64 { return float64(r.Report.Finished) }},
	{"broken", func(r *Run) float64 { return float64(len(r.Report.Broken)) }},
}

// Summarize writes medians and ranges of the runs in a folder; a file is named
// MEASURE-VARIANT-SEED.json.
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
			fmt.Fprintf(t, "\t%s", spread(runs[n], c.of))
		}
		fmt.Fprintln(t)
	}
	return errors.Wrap(t.Flush(), "write summary")
}

// readRuns returns the runs in a folder by measure and variant.
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

// spread returns the median with the least and greatest value.
func spread(runs []*Run, of func(*Run) float64) string {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = of(r)
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
