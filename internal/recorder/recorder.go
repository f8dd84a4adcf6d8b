package recorder

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	ringLines   = 2048
	flushPeriod = 50 * time.Millisecond
	maxBatch    = 64 << 10
)

// Recorder writes lines to one writer.
type Recorder struct {
	out     io.Writer
	ring    chan *Line
	pool    sync.Pool
	dropped atomic.Int64
	tomb    *tomb.Tomb
	now     func() time.Time
}

// Start returns a recorder that writes until the context ends.
func Start(ctx context.Context, out io.Writer) *Recorder {
	r := &Recorder{out: out, ring: make(chan *Line, ringLines), now: time.Now}
	r.pool.New = func() any { return &Line{recorder: r, text: make([]byte, 0, 256)} }
	r.tomb, _ = tomb.WithContext(ctx)
	r.tomb.Go(r.run)
	return r
}

// Event begins a line of a part of the program, such as "forwarder: placed".
func (r *Recorder) Event(part, what string) *Line {
	l := r.pool.Get().(*Line)
	l.text = r.now().UTC().AppendFormat(l.text[:0], "15:04:05.000")
	l.text = append(l.text, ' ')
	l.text = append(l.text, part...)
	l.text = append(l.text, ": "...)
	l.text = append(l.text, what...)
	return l
}

// Dropped returns the number of lines that found the ring full.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Wait returns once everything is written after the context's end.
func (r *Recorder) Wait() error { return r.tomb.Wait() }

func (r *Recorder) put(l *Line) {
	l.text = append(l.text, '\n')
	select {
	case r.ring <- l:
	default:
		r.dropped.Add(1)
		r.pool.Put(l)
	}
}

func (r *Recorder) run() error {
	var told int64
	batch := make([]byte, 0, maxBatch)
	for {
		select {
		case l := <-r.ring:
			batch = r.take(batch[:0], l)
		case <-r.tomb.Dying():
			_, err := r.out.Write(r.drain(batch[:0]))
			return err
		}
		if n := r.dropped.Load(); n > told {
			batch = append(batch, r.notice(n-told)...)
			told = n
		}
		// A writer that fails has nowhere to say so.
		_, _ = r.out.Write(batch)
		select {
		case <-time.After(flushPeriod):
		case <-r.tomb.Dying():
		}
	}
}

// take appends a line and those that wait behind it, up to a batch.
func (r *Recorder) take(batch []byte, l *Line) []byte {
	batch = append(batch, l.text...)
	r.pool.Put(l)
	return r.drain(batch)
}

func (r *Recorder) drain(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case l := <-r.ring:
			batch = append(batch, l.text...)
			r.pool.Put(l)
		default:
			return batch
		}
	}
	return batch
}

func (r *Recorder) notice(lost int64) []byte {
	l := r.Event("recorder", "dropped lines")
	l.Int("count", int(lost))
	return append(l.text, '\n')
}
