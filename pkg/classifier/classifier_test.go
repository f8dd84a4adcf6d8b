package classifier_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// TestDocsListAllCodes checks that the table in docs/ERRORS.md matches the codes.
func TestDocsListAllCodes(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/ERRORS.md")
	is.NoErr(err)
	var rows []string
	for _, line := range strings.Split(string(page), "\n") {
		if len(line) > 6 && line[:2] == "| " && line[2] >= '1' && line[2] <= '9' && line[6] == ' ' {
			rows = append(rows, line)
		}
	}
	codes := classifier.Codes()
	is.Equal(len(rows), len(codes))
	for i, c := range codes {
		is.Equal(rows[i], fmt.Sprintf("| %d | `%s` | %d | %s |", c, c, c.Status(), c.Text()))
	}
}

func TestFaultInErrorChain(t *testing.T) {
	is := is.New(t)
	f := classifier.New(classifier.Overloaded, classifier.RanNo, "wait").After(1500 * time.Millisecond)
	is.Equal(classifier.From(errors.Wrap(f, "x")), f)
	is.Equal(f.RetrySeconds(), 2)
	is.Equal(classifier.From(errors.New("odd")).Ran, classifier.RanUnknown) // RanNo needs evidence; other errors are RanUnknown.
	is.Equal(f.With(classifier.RanUnknown).Ran, classifier.RanUnknown)
	is.Equal(f.Ran, classifier.RanNo)
}
