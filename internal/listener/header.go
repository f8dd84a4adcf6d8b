package listener

import (
	"net/http"
	"strconv"
	"time"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// The headers of requests and answers.
const (
	HeaderProgram  = "Pimentorail-Program"
	HeaderCall     = "Pimentorail-Call"
	HeaderDeadline = "Pimentorail-Deadline-Ms"
	HeaderRan      = "Pimentorail-Ran"
	HeaderKey      = "Idempotency-Key"
)

const (
	maxKeyBytes   = 256
	maxDeadlineMS = 600_000
)

// labels are the checked headers of a call.
type labels struct {
	program  string
	number   int
	key      string
	deadline time.Duration
}

func readLabels(r *http.Request) (labels, *classifier.Fault) {
	l := labels{program: r.Header.Get(HeaderProgram), key: r.Header.Get(HeaderKey)}
	if len(l.key) > maxKeyBytes {
		return l, badHeader(HeaderKey, "at most %d bytes", maxKeyBytes)
	}
	var f *classifier.Fault
	if l.number, f = number(r, HeaderCall, 1, 1_000_000); f != nil {
		return l, f
	}
	if l.program == "" && (l.number != 0 || l.key != "") {
		// Without a program there is no record that could tell a repeat.
		l.number, l.key = 0, ""
	}
	ms, f := number(r, HeaderDeadline, 1, maxDeadlineMS)
	l.deadline = time.Duration(ms) * time.Millisecond
	return l, f
}

// number returns a whole-number header, zero if it is absent.
func number(r *http.Request, name string, least, most int) (int, *classifier.Fault) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < least || n > most {
		return 0, badHeader(name, "a whole number from %d to %d", least, most)
	}
	return n, nil
}

func badHeader(name, format string, args ...any) *classifier.Fault {
	f := classifier.New(classifier.BadRequest, classifier.RanNo, format, args...)
	f.Message = "header " + name + ": " + f.Message + " is allowed"
	return f
}
