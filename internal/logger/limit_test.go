package logger_test

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/logger"
)

// Lines about a row that is rewritten all the time, or about rows without number, flooded the log.
func TestLimitBoundsLines(t *testing.T) {
	is := is.New(t)
	l := logger.NewLimit(time.Minute, 8)
	start := time.Unix(0, 0)
	written := 0
	for i := range 1000 {
		if _, ok := l.Allow("a", start.Add(time.Duration(i)*time.Millisecond)); ok {
			written++
		}
	}
	is.Equal(written, 1)
	for i := range 1000 {
		if _, ok := l.Allow("other "+strconv.Itoa(i), start.Add(time.Second)); ok {
			written++
		}
	}
	is.Equal(written, 8)
	skipped, ok := l.Allow("a", start.Add(2*time.Minute))
	is.True(ok)
	is.Equal(skipped, 993) // The line about the first other subject named the 999 before it.
	skipped, ok = l.Allow("b", start.Add(2*time.Minute))
	is.True(ok)
	is.Equal(skipped, 0)
}

// An error that quotes a value of 64 KB was a line as long.
func TestLongErrorsAreCut(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	l := logger.Start(ctx, &out)
	l.Event("a", "b").Err(errors.New(strings.Repeat("x", 64<<10))).End()
	cancel()
	_ = l.Wait() // The cancellation.
	is.True(out.Len() < 2<<10)
	is.True(strings.Contains(out.String(), "(65536 bytes)"))
}
