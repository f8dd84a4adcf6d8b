package listener

import (
	"net/http"
	"strconv"
	"time"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// The headers of requests and responses.
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

// callHeaders holds the validated headers of a call.
type callHeaders struct {
	program  string
	number   int
	key      string
	deadline time.Duration
}

func parseCallHeaders(r *http.Request) (callHeaders, *classifier.Fault) {
	h := callHeaders{program: r.Header.Get(HeaderProgram), key: r.Header.Get(HeaderKey)}
	if len(h.key) > maxKeyBytes {
		return h, invalidHeader(HeaderKey, "at most %d bytes", maxKeyBytes)
	}
	var f *classifier.Fault
	if h.number, f = parseIntHeader(r, HeaderCall, 1, 1_000_000); f != nil {
		return h, f
	}
	if h.program == "" && (h.number != 0 || h.key != "") {
		// Without a program there is no record by which a repeated call is detected.
		h.number, h.key = 0, ""
	}
	ms, f := parseIntHeader(r, HeaderDeadline, 1, maxDeadlineMS)
	h.deadline = time.Duration(ms) * time.Millisecond
	return h, f
}

// parseIntHeader returns the value of an integer header, zero if it is absent.
func parseIntHeader(r *http.Request, name string, minValue, maxValue int) (int, *classifier.Fault) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < minValue || n > maxValue {
		return 0, invalidHeader(name, "an integer from %d to %d", minValue, maxValue)
	}
	return n, nil
}

func invalidHeader(name, format string, args ...any) *classifier.Fault {
	f := classifier.New(classifier.BadRequest, classifier.RanNo, format, args...)
	f.Message = "header " + name + ": " + f.Message + " expected"
	return f
}
