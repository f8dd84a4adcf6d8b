package validator

import (
	"fmt"
	"strings"
)

// Fault is one fault of a document.
type Fault struct {
	// Path is the JSON pointer of the value.
	Path string `json:"path"`
	// Value is the faulty value as JSON, shortened if it is long.
	Value string `json:"value"`
	// Allowed says what is allowed there.
	Allowed string `json:"allowed"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Path, f.Value, f.Allowed)
}

// Faults is a list of faults that is an error.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, x := range f {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}
