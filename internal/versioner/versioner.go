package versioner

import (
	"context"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

// Versioner records and finds the origins of streams for one daemon.
type Versioner struct {
	table  storer.Table
	tomb   *tomb.Tomb
	queues [partitions]*queue

	recorded, dropped atomic.Int64
}

// Start returns a versioner that writes records until the context ends.
func Start(ctx context.Context, table storer.Table) *Versioner {
	v := &Versioner{table: table}
	v.tomb, _ = tomb.WithContext(ctx)
	for i := range v.queues {
		v.queues[i] = &queue{versioner: v, ring: make(chan record, queueLength)}
		v.tomb.Go(supervisor.Loop(v.tomb, "versioner: queue", v.queues[i].run))
	}
	return v
}

// Counts returns the number of streams whose origin was recorded, and of those whose record
// was dropped because the store did not take it in time.
func (v *Versioner) Counts() (recorded, dropped int64) { return v.recorded.Load(), v.dropped.Load() }

// Record records the origin of a stream that begins. It does not wait for the store.
func (v *Versioner) Record(s Stream, o Origin) {
	d := s.digest()
	select {
	case v.queues[d.partition()].ring <- record{stream: d, origin: o, expires: time.Now().Add(recordTimeout)}:
	default:
		v.dropped.Add(1)
	}
}

// Find returns the origin of a stream, and false if none is recorded. An error is that of the
// store.
func (v *Versioner) Find(ctx context.Context, s Stream) (Recorded, bool, error) {
	d := s.digest()
	r, err := v.table.Get(ctx, d.key())
	if err != nil {
		return Recorded{}, false, err
	}
	o, ok := decode(r.Value, d)
	return Recorded{Origin: o, StoreVersion: r.Version}, ok, nil
}
