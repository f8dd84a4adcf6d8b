package attributor

import (
	"strconv"
	"strings"
	"time"
)

// line holds the values that the report uses from the log line of one request.
type line struct {
	event   string
	program string
	// opened, first and took are measured from the arrival of the request.
	opened, first, took time.Duration
	// remaining is the time from the end of the request to the program's deadline,
	// negative once the deadline has passed.
	remaining   time.Duration
	hasDeadline bool
	isTurn      bool
	attempts    int
	failed      bool
}

// parseLine parses a log line and reports whether it describes a finished or refused
// request of a program. It ignores text before the event, such as the name of a VM.
func parseLine(text string) (line, bool) {
	_, rest, ok := strings.Cut(text, " forwarder: ")
	if !ok {
		return line{}, false
	}
	event, rest, _ := strings.Cut(rest, " ")
	if event != "done" && event != "refused" {
		return line{}, false
	}
	l := line{event: event, failed: event == "refused"}
	for rest != "" {
		var name, value string
		name, rest, _ = strings.Cut(rest, "=")
		value, rest = cutValue(rest)
		l.set(name, value)
	}
	return l, l.program != ""
}

// cutValue splits s after its first value, which may be quoted.
func cutValue(s string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(s); err == nil {
		value, _ = strconv.Unquote(quoted)
		return value, strings.TrimPrefix(s[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(s, " ")
	return value, rest
}

func (l *line) set(name, value string) {
	switch name {
	case "program":
		l.program = value
	case "opened":
		l.opened = milliseconds(value)
	case "first":
		l.first = milliseconds(value)
	case "took", "after":
		l.took = milliseconds(value)
	case "left":
		l.remaining, l.hasDeadline = milliseconds(value), true
	case "history":
		l.isTurn = true
	case "attempts":
		l.attempts, _ = strconv.Atoi(value)
	case "code":
		l.failed = true
	}
}

// milliseconds parses a number of milliseconds. It returns zero if s is not a number.
func milliseconds(s string) time.Duration {
	ms, _ := strconv.ParseFloat(s, 64)
	return time.Duration(ms * float64(time.Millisecond))
}
