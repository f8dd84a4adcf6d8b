package validator

import (
	"fmt"
	"strings"
)

// Fault describes one invalid value of a document.
type Fault struct {
	// Path is the JSON pointer to the value.
	Path string `json:"path"`
	// Value is the invalid value as JSON, truncated if it is long.
	Value string `json:"value"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Path, f.Value, f.Allowed)
}

// Faults lists the faults of a document. It implements error with one line per fault.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, x := range f {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}
