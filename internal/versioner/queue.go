package versioner

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
)

const (
	// queueLength bounds the records of one partition that wait for the store.
	queueLength = 256
	// maxBatch bounds the records of one write.
	maxBatch = 64
	// recordTimeout is how long a record is tried to be written. A stream that broke off
	// before is no longer resumed.
	recordTimeout = 5 * time.Second
)

// record is the origin of one stream that has to be written.
type record struct {
	stream  digest
	origin  Origin
	expires time.Time
}

// queue holds the records of one partition. While a write is under way, later records
// gather and go into the next one.
type queue struct {
	versioner *Versioner
	ring      chan record
}

func (q *queue) run() error {
	for {
		select {
		case first := <-q.ring:
			q.write(q.batch(first))
		case <-q.versioner.tomb.Dying():
			return nil
		}
	}
}

// batch returns the records that are waiting, oldest first.
func (q *queue) batch(first record) []record {
	list := []record{first}
	for len(list) < maxBatch {
		select {
		case r := <-q.ring:
			list = append(list, r)
		default:
			return list
		}
	}
	return list
}

// write writes records until the store has acknowledged them or the newest one expires. It
// may write them twice after an ambiguous outcome, which changes nothing.
func (q *queue) write(list []record) {
	v := q.versioner
	tx := storer.Transaction{Writes: writes(list)}
	expires := list[len(list)-1].expires
	ctx, cancel := context.WithDeadline(v.tomb.Context(nil), expires)
	defer cancel()
	var backoff storer.Backoff
	for {
		if _, err := v.table.Commit(ctx, tx); err == nil {
			v.recorded.Add(int64(len(list)))
			return
		}
		if !backoff.Wait(ctx) {
			v.dropped.Add(int64(len(list)))
			return
		}
	}
}

// writes returns one write for each row; of two records of one row the newer one is written.
func writes(list []record) []storer.Write {
	var out []storer.Write
	indexes := map[string]int{}
	for _, r := range list {
		value, err := encode(r.stream, r.origin)
		if err != nil {
			continue
		}
		w := storer.Write{Key: r.stream.key(), Value: value}
		if i, ok := indexes[w.Key]; ok {
			out[i] = w
			continue
		}
		indexes[w.Key] = len(out)
		out = append(out, w)
	}
	return out
}
