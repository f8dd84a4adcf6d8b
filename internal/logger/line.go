package logger

import (
	"strconv"
	"time"
)

// maxErrorBytes is the length to which the text of an error is cut.
const maxErrorBytes = 1 << 10

// Line is one log line under construction.
type Line struct {
	logger *Logger
	text   []byte
}

func (l *Line) appendKey(name string) {
	l.text = append(l.text, ' ')
	l.text = append(l.text, name...)
	l.text = append(l.text, '=')
}

// Str adds a text field. The value is quoted if it is empty or contains spaces, quotes,
// equal signs, control characters or bytes beyond ASCII.
func (l *Line) Str(name, value string) *Line {
	l.appendKey(name)
	if isPlainWord(value) {
		l.text = append(l.text, value...)
	} else {
		l.text = strconv.AppendQuote(l.text, value)
	}
	return l
}

// Int adds an integer field.
func (l *Line) Int(name string, value int) *Line {
	l.appendKey(name)
	l.text = strconv.AppendInt(l.text, int64(value), 10)
	return l
}

// Float adds a decimal number with two decimals.
func (l *Line) Float(name string, value float64) *Line {
	l.appendKey(name)
	l.text = strconv.AppendFloat(l.text, value, 'f', 2, 64)
	return l
}

// Uint adds an unsigned integer field, such as a version.
func (l *Line) Uint(name string, value uint64) *Line {
	l.appendKey(name)
	l.text = strconv.AppendUint(l.text, value, 10)
	return l
}

// Bool adds a boolean field.
func (l *Line) Bool(name string, value bool) *Line {
	l.appendKey(name)
	l.text = strconv.AppendBool(l.text, value)
	return l
}

// Dur adds a duration field in milliseconds with one decimal.
func (l *Line) Dur(name string, value time.Duration) *Line {
	l.appendKey(name)
	l.text = strconv.AppendFloat(l.text, float64(value)/float64(time.Millisecond), 'f', 1, 64)
	return l
}

// Err adds the field "error", unless err is nil. A text that is too long is cut, since it may
// quote what another process wrote.
func (l *Line) Err(err error) *Line {
	if err == nil {
		return l
	}
	text := err.Error()
	if len(text) > maxErrorBytes {
		text = text[:maxErrorBytes] + "... (" + strconv.Itoa(len(text)) + " bytes)"
	}
	return l.Str("error", text)
}

// End queues the line for writing. The line must not be used afterwards.
func (l *Line) End() { l.logger.enqueue(l) }

// EndLast keeps the line until the logger's context ends, and has it written after all others,
// also after those that goroutines queue meanwhile. The line must not be used afterwards.
func (l *Line) EndLast() {
	l.text = append(l.text, '\n')
	l.logger.last.Store(l)
}

func isPlainWord(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			return false
		}
	}
	return true
}
