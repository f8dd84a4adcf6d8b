package logger

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	maxQueuedLines = 2048
	// maxQueuedBytes allows for 2,048 lines of 512 bytes. Lines hold values of clients, of up to
	// the size of a header.
	maxQueuedBytes = 1 << 20
	flushPeriod    = 50 * time.Millisecond
	maxBatchBytes  = 64 << 10
)

var newline = []byte{'\n'}

// Logger queues log lines and writes them to one writer.
type Logger struct {
	out     io.Writer
	queue   chan *Line
	pool    sync.Pool
	dropped atomic.Int64
	// queuedBytes is the size of the queued lines.
	queuedBytes atomic.Int64
	// unwritten is the number of lines that the writer did not take.
	unwritten atomic.Int64
	// droppedReported and unwrittenReported are the counts that were last written.
	droppedReported, unwrittenReported int64
	// last is the line that is written after all others.
	last atomic.Pointer[Line]
	// cut is set if the last thing written is a part of a line.
	cut  bool
	tomb *tomb.Tomb
	now  func() time.Time
}

// Start returns a Logger that writes until the context ends.
func Start(ctx context.Context, out io.Writer) *Logger {
	r := &Logger{out: out, queue: make(chan *Line, maxQueuedLines), now: time.Now}
	r.pool.New = func() any { return &Line{logger: r, text: make([]byte, 0, 256)} }
	r.tomb, _ = tomb.WithContext(ctx)
	r.tomb.Go(supervisor.Loop(r.tomb, "logger: output", r.run))
	return r
}

// Event starts a log line with the time, a component of the daemon and one of its events,
// such as "forwarder: placed".
func (r *Logger) Event(component, event string) *Line {
	l := r.pool.Get().(*Line)
	l.text = r.now().UTC().AppendFormat(l.text[:0], "15:04:05.000")
	l.text = append(l.text, ' ')
	l.text = append(l.text, component...)
	l.text = append(l.text, ": "...)
	l.text = append(l.text, event...)
	return l
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (r *Logger) Dropped() int64 { return r.dropped.Load() }

// Unwritten returns the number of lines that were lost because the writer failed.
func (r *Logger) Unwritten() int64 { return r.unwritten.Load() }

// Wait returns once the context has ended and all queued lines are written.
func (r *Logger) Wait() error { return r.tomb.Wait() }

// WaitTimeout is like Wait, but returns false if the lines are not written in time because
// the writer blocks.
func (r *Logger) WaitTimeout(timeout time.Duration) bool {
	select {
	case <-r.tomb.Dead():
		return true
	case <-time.After(timeout):
		return false
	}
}

func (r *Logger) enqueue(l *Line) {
	l.text = append(l.text, '\n')
	if r.queuedBytes.Add(int64(len(l.text))) <= maxQueuedBytes {
		select {
		case r.queue <- l:
			return
		default:
		}
	}
	r.queuedBytes.Add(-int64(len(l.text)))
	r.dropped.Add(1)
	r.pool.Put(l)
}

func (r *Logger) run() error {
	batch := make([]byte, 0, maxBatchBytes)
	for {
		select {
		case l := <-r.queue:
			batch = r.appendQueued(batch[:0], l)
		case <-r.tomb.Dying():
			return r.writeQueued(batch)
		}
		_ = r.write(batch) // A failure is counted.
		select {
		case <-time.After(flushPeriod):
		case <-r.tomb.Dying():
		}
	}
}

// writeQueued writes all lines that are queued, in batches.
func (r *Logger) writeQueued(batch []byte) error {
	var err error
	for {
		batch = r.drain(batch[:0])
		if len(batch) == 0 {
			return r.writeLast(err)
		}
		if writeErr := r.write(batch); writeErr != nil {
			err = writeErr
		}
	}
}

// writeLast writes the line of EndLast, if there is one. Lines that are queued later are not written.
func (r *Logger) writeLast(err error) error {
	l := r.last.Load()
	if l == nil {
		return err
	}
	if writeErr := r.write(l.text); writeErr != nil {
		err = writeErr
	}
	return err
}

// write writes a batch after the notices of lines that were lost before. Lines that the
// writer does not take are lost, not tried again, so that a writer that fails for long uses
// no memory.
func (r *Logger) write(batch []byte) error {
	r.writeNotices()
	n, err := r.writeText(batch)
	if err != nil {
		r.unwritten.Add(int64(bytes.Count(batch[n:], newline)))
	}
	return err
}

// writeNotices writes the counts of lost lines. Those that fail are written later.
func (r *Logger) writeNotices() {
	if n := r.dropped.Load(); n > r.droppedReported {
		if _, err := r.writeText(r.notice("dropped lines", n-r.droppedReported)); err == nil {
			r.droppedReported = n
		}
	}
	if n := r.unwritten.Load(); n > r.unwrittenReported {
		if _, err := r.writeText(r.notice("lines not written", n-r.unwrittenReported)); err == nil {
			r.unwrittenReported = n
		}
	}
}

// writeText writes whole lines and returns how many bytes of them were written. It first ends
// a line of which the writer took only a part.
func (r *Logger) writeText(text []byte) (int, error) {
	if r.cut {
		if _, err := r.out.Write(newline); err != nil {
			return 0, err
		}
		r.cut = false
	}
	n, err := r.out.Write(text)
	n = max(0, min(n, len(text)))
	if n > 0 {
		r.cut = text[n-1] != '\n'
	}
	return n, err
}

// appendQueued appends a line and the lines queued after it, up to the size of a batch.
func (r *Logger) appendQueued(batch []byte, l *Line) []byte {
	return r.drain(r.appendLine(batch, l))
}

func (r *Logger) appendLine(batch []byte, l *Line) []byte {
	r.queuedBytes.Add(-int64(len(l.text)))
	batch = append(batch, l.text...)
	r.pool.Put(l)
	return batch
}

func (r *Logger) drain(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case l := <-r.queue:
			batch = r.appendLine(batch, l)
		default:
			return batch
		}
	}
	return batch
}

// notice returns a line about lost lines.
func (r *Logger) notice(event string, count int64) []byte {
	// "recorder" is the fixed name of this package in logs.
	l := r.Event("recorder", event)
	l.Int("count", int(count))
	return append(l.text, '\n')
}
