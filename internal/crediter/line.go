package crediter

import (
	"strconv"
	"strings"
	"time"
)

// line is what is read of one log line about a request.
type line struct {
	what    string
	program string
	// opened, first and took are times since the request's arrival.
	opened, first, took time.Duration
	// left is the time until the program should be finished, at the request's end.
	left     time.Duration
	timed    bool
	turn     bool
	attempts int
	failed   bool
}

// parse reads a line; it returns false for lines of other kinds. What stands
// before the event, such as the name of a VM, is skipped.
func parse(text string) (line, bool) {
	_, rest, ok := strings.Cut(text, " forwarder: ")
	if !ok {
		return line{}, false
	}
	what, rest, _ := strings.Cut(rest, " ")
	if what != "done" && what != "refused" {
		return line{}, false
	}
	l := line{what: what, failed: what == "refused"}
	for rest != "" {
		var name, value string
		name, rest, _ = strings.Cut(rest, "=")
		value, rest = cutValue(rest)
		l.set(name, value)
	}
	return l, l.program != ""
}

// cutValue takes a value, which may be quoted, off the rest of a line.
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
		l.left, l.timed = milliseconds(value), true
	case "history":
		l.turn = true
	case "attempts":
		l.attempts, _ = strconv.Atoi(value)
	case "code":
		l.failed = true
	}
}

// milliseconds reads a figure of a log line; an unreadable one is zero.
func milliseconds(s string) time.Duration {
	ms, _ := strconv.ParseFloat(s, 64)
	return time.Duration(ms * float64(time.Millisecond))
}
