package logger_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/logger"
)

// blockingWriter blocks each Write until unblocked is closed, unless unblocked is nil.
type blockingWriter struct {
	mu        sync.Mutex
	text      bytes.Buffer
	unblocked chan struct{}
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	if s.unblocked != nil {
		<-s.unblocked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *blockingWriter) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.text.String()), "\n")
}

func TestFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &blockingWriter{}
		ctx, cancel := context.WithCancel(context.Background())
		r := logger.Start(ctx, s)
		r.Event("part", "happened").Str("id", "a b=\"c\"\n").Str("empty", "").Int("n", -7).Uint("v", 9).Bool("ok", true).
			Dur("took", 1500*time.Microsecond).Err(nil).Err(errors.New("no luck")).End()
		time.Sleep(time.Second)
		is.Equal(s.lines()[0][13:], `part: happened id="a b=\"c\"\n" empty="" n=-7 v=9 ok=true took=1.5 error="no luck"`)
		cancel()
		_ = r.Wait()
	})
}

// TestAWriterThatHangsBlocksNobody guards against callers that block while the writer
// hangs, and against lines that are dropped without a count.
func TestAWriterThatHangsBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &blockingWriter{unblocked: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		r := logger.Start(ctx, s)
		const lines = 10_000
		for range lines {
			r.Event("part", "happened").End()
		}
		is.True(r.Dropped() > 0)
		close(s.unblocked)
		time.Sleep(time.Minute)
		r.Event("part", "after").End()
		time.Sleep(time.Minute)
		text := strings.Join(s.lines(), "\n")
		is.True(strings.Contains(text, "recorder: dropped lines count=")) // The number of dropped lines is logged.
		is.True(strings.Contains(text, "part: after"))
		is.Equal(strings.Count(text, "happened"), lines-int(r.Dropped()))
		cancel()
		_ = r.Wait()
	})
}

// TestLastLinesAreWrittenOnStop guards against the loss of lines that are still queued when
// the context ends.
func TestLastLinesAreWrittenOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &blockingWriter{}
		ctx, cancel := context.WithCancel(context.Background())
		r := logger.Start(ctx, s)
		r.Event("part", "first").End()
		time.Sleep(time.Millisecond)
		r.Event("part", "last").End()
		cancel()
		_ = r.Wait()
		is.Equal(len(s.lines()), 2)
	})
}

// TestAllQueuedLinesAreWrittenOnStop guards against the loss of the lines after the first
// batch when the context ends.
func TestAllQueuedLinesAreWrittenOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &blockingWriter{}
		ctx, cancel := context.WithCancel(context.Background())
		r := logger.Start(ctx, s)
		const lines = 1000
		for range lines {
			r.Event("part", "happened").Str("text", strings.Repeat("x", 500)).End()
		}
		cancel()
		is.True(r.WaitTimeout(time.Second))
		is.Equal(len(s.lines()), lines)
	})
}

// TestWaitTimeoutReturnsIfTheWriterBlocks guards against an exit that a blocked output holds up.
func TestWaitTimeoutReturnsIfTheWriterBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &blockingWriter{unblocked: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		r := logger.Start(ctx, s)
		r.Event("part", "happened").End()
		cancel()
		is.True(!r.WaitTimeout(time.Second))
		close(s.unblocked)
		is.True(r.WaitTimeout(time.Second))
		is.Equal(len(s.lines()), 1)
	})
}

// failingWriter takes the first limit bytes of each write and fails if there are more.
// A negative limit takes everything.
type failingWriter struct {
	blockingWriter
	limit int
}

func (w *failingWriter) Write(p []byte) (int, error) {
	if w.limit < 0 || len(p) <= w.limit {
		return w.blockingWriter.Write(p)
	}
	_, _ = w.blockingWriter.Write(p[:w.limit])
	return w.limit, errors.New("no space left")
}

// TestAWriterThatFailsLosesOnlyItsLines guards against a logger that stops, or keeps lines for
// ever, when its writer fails, and against lines that are lost without a count.
func TestAWriterThatFailsLosesOnlyItsLines(t *testing.T) {
	for _, limit := range []int{0, 20} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := &failingWriter{limit: limit}
			ctx, cancel := context.WithCancel(context.Background())
			r := logger.Start(ctx, w)
			r.Event("part", "lost").End()
			r.Event("part", "lost").End()
			time.Sleep(time.Second)
			is.Equal(r.Unwritten(), int64(2))
			w.limit = -1
			r.Event("part", "after").End()
			time.Sleep(time.Second)
			lines := w.lines()
			is.Equal(lines[len(lines)-2][13:], "recorder: lines not written count=2")
			is.Equal(lines[len(lines)-1][13:], "part: after")
			is.Equal(r.Unwritten(), int64(2))
			cancel()
			_ = r.Wait()
		})
	}
}

// TestWriterQueuesWhatLibrariesLog guards against libraries that block, or end the process,
// because they write to an output that fails.
func TestWriterQueuesWhatLibrariesLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &blockingWriter{}
		ctx, cancel := context.WithCancel(context.Background())
		r := logger.Start(ctx, s)
		n, err := r.Writer("library").Write([]byte("two words\n"))
		is.NoErr(err)
		is.Equal(n, 10)
		cancel()
		_ = r.Wait()
		is.Equal(s.lines()[0][13:], `library: message text="two words"`)
	})
}

// TestLongLinesThatWaitAreBounded guards against a process that grows beyond its memory because
// nobody reads its output while clients send long values that are logged.
func TestLongLinesThatWaitAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &blockingWriter{unblocked: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		r := logger.Start(ctx, s)
		const lines, length = 2000, 64 << 10
		value := strings.Repeat("x", length)
		for range lines {
			r.Event("part", "happened").Str("id", value).End()
		}
		is.True(r.Dropped() > 0)
		waiting := (lines - int(r.Dropped())) * length
		is.True(waiting <= 2<<20) // A fiftieth of the memory of the smallest VM.
		close(s.unblocked)
		time.Sleep(time.Minute)
		dropped := r.Dropped()
		r.Event("part", "after").Str("id", value).End()
		time.Sleep(time.Second)
		is.Equal(r.Dropped(), dropped) // Lines that are written make room.
		cancel()
		_ = r.Wait()
	})
}

// TestTheLastLineIsWrittenAfterAllOthers guards against a log whose last line doesn't say why
// the process ended, because a goroutine logged something meanwhile.
func TestTheLastLineIsWrittenAfterAllOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &blockingWriter{}
		ctx, cancel := context.WithCancel(context.Background())
		r := logger.Start(ctx, s)
		r.Event("server", "exit").EndLast()
		r.Event("relayer", "no secret yet").End()
		cancel()
		is.True(r.WaitTimeout(time.Second))
		lines := s.lines()
		is.Equal(len(lines), 2)
		is.True(strings.HasSuffix(lines[1], "server: exit"))
	})
}
