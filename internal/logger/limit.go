package logger

import "time"

// Limit bounds the log lines about what other writers do, such as a row that cannot be decoded
// and is rewritten many times a second. It is not safe for concurrent use.
type Limit struct {
	period   time.Duration
	subjects int
	// written holds when a line about each subject was last written.
	written map[string]time.Time
	skipped int
}

// NewLimit returns a limit of one line a period about each of a number of subjects.
func NewLimit(period time.Duration, subjects int) *Limit {
	return &Limit{period: period, subjects: subjects, written: map[string]time.Time{}}
}

// Allow reports whether a line about a subject may be written now. If it may, skipped is the
// number of lines about any subject that were not, since the last one that was.
func (l *Limit) Allow(subject string, now time.Time) (skipped int, ok bool) {
	if at, known := l.written[subject]; known && now.Sub(at) < l.period {
		l.skipped++
		return 0, false
	}
	for s, at := range l.written {
		if now.Sub(at) >= l.period {
			delete(l.written, s)
		}
	}
	if len(l.written) >= l.subjects {
		l.skipped++
		return 0, false
	}
	l.written[subject] = now
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
