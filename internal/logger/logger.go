package logger

import (
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
	flushPeriod    = 50 * time.Millisecond
	maxBatchBytes  = 64 << 10
)

// Logger queues log lines and writes them to one writer.
type Logger struct {
	out     io.Writer
	queue   chan *Line
	pool    sync.Pool
	dropped atomic.Int64
	tomb    *tomb.Tomb
	now     func() time.Time
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

// Wait returns once the context has ended and the last batch is written.
func (r *Logger) Wait() error { return r.tomb.Wait() }

func (r *Logger) enqueue(l *Line) {
	l.text = append(l.text, '\n')
	select {
	case r.queue <- l:
	default:
		r.dropped.Add(1)
		r.pool.Put(l)
	}
}

func (r *Logger) run() error {
	var reported int64
	batch := make([]byte, 0, maxBatchBytes)
	for {
		select {
		case l := <-r.queue:
			batch = r.appendQueued(batch[:0], l)
		case <-r.tomb.Dying():
			_, err := r.out.Write(r.drain(batch[:0]))
			return err
		}
		if n := r.dropped.Load(); n > reported {
			batch = append(batch, r.droppedNotice(n-reported)...)
			reported = n
		}
		// A write error can't be logged anywhere.
		_, _ = r.out.Write(batch)
		select {
		case <-time.After(flushPeriod):
		case <-r.tomb.Dying():
		}
	}
}

// appendQueued appends a line and the lines queued after it, up to the size of a batch.
func (r *Logger) appendQueued(batch []byte, l *Line) []byte {
	batch = append(batch, l.text...)
	r.pool.Put(l)
	return r.drain(batch)
}

func (r *Logger) drain(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case l := <-r.queue:
			batch = append(batch, l.text...)
			r.pool.Put(l)
		default:
			return batch
		}
	}
	return batch
}

func (r *Logger) droppedNotice(count int64) []byte {
	// "recorder" is the fixed name of this package in logs.
	l := r.Event("recorder", "dropped lines")
	l.Int("count", int(count))
	return append(l.text, '\n')
}
