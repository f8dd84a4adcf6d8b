package recorder

import (
	"strconv"
	"time"
)

// Line is one log line under construction.
type Line struct {
	recorder *Recorder
	text     []byte
}

func (l *Line) key(name string) {
	l.text = append(l.text, ' ')
	l.text = append(l.text, name...)
	l.text = append(l.text, '=')
}

// Str adds a text field, quoted if it is not a plain word.
func (l *Line) Str(name, value string) *Line {
	l.key(name)
	if plain(value) {
		l.text = append(l.text, value...)
	} else {
		l.text = strconv.AppendQuote(l.text, value)
	}
	return l
}

// Int adds a number.
func (l *Line) Int(name string, value int) *Line {
	l.key(name)
	l.text = strconv.AppendInt(l.text, int64(value), 10)
	return l
}

// Uint adds a version.
func (l *Line) Uint(name string, value uint64) *Line {
	l.key(name)
	l.text = strconv.AppendUint(l.text, value, 10)
	return l
}

// Bool adds a truth value.
func (l *Line) Bool(name string, value bool) *Line {
	l.key(name)
	l.text = strconv.AppendBool(l.text, value)
	return l
}

// Dur adds a duration in milliseconds with one decimal.
func (l *Line) Dur(name string, value time.Duration) *Line {
	l.key(name)
	l.text = strconv.AppendFloat(l.text, float64(value)/float64(time.Millisecond), 'f', 1, 64)
	return l
}

// Err adds an error.
func (l *Line) Err(err error) *Line {
	if err == nil {
		return l
	}
	return l.Str("error", err.Error())
}

// End hands the line over; it must not be used afterwards.
func (l *Line) End() { l.recorder.put(l) }

func plain(s string) bool {
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
