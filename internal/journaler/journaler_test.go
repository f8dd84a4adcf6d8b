package journaler_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/journaler"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/storer"
)

// faultyTable is a table with scripted commit faults: each commit consumes one.
type faultyTable struct {
	*emulator.Store
	mu      sync.Mutex
	faults  []string
	delayed []storer.Transaction
}

// Commit implements storer.Table.
func (f *faultyTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := "ok"
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	switch fault {
	case "lost-before":
		return 0, storer.ErrUnavailable
	case "lost-after":
		_, err := f.Store.Commit(ctx, tx)
		if errors.Is(err, storer.ErrConflict) {
			return 0, err
		}
		return 0, storer.ErrUnavailable
	case "late":
		f.delayed = append(f.delayed, tx)
		return 0, storer.ErrUnavailable
	}
	return f.Store.Commit(ctx, tx)
}

// deliverDelayed applies the delayed commits.
func (f *faultyTable) deliverDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tx := range f.delayed {
		_, _ = f.Store.Commit(context.Background(), tx)
	}
	f.delayed = nil
}

// takeOver makes a new owner of a partition and returns its fence.
func takeOver(t *emulator.Store, partition int) leaser.Fence {
	row, _ := t.Get(context.Background(), leaser.PartitionKey(partition))
	v, err := t.Commit(context.Background(), storer.Transaction{
		Conditions: []storer.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []storer.Write{{Key: row.Key, Value: []byte(`{"session":"s"}`)}},
	})
	if err != nil {
		panic(err)
	}
	return leaser.Fence{Partition: partition, Version: v}
}

func TestCommitFaults(t *testing.T) {
	rows := []struct {
		name      string
		faults    []string
		takenOver bool
		want      error
		present   bool
	}{
		{"answered", nil, false, nil, true},
		{"lost before the write", []string{"lost-before"}, false, nil, true},
		{"lost after the write", []string{"lost-after"}, false, nil, true},
		{"lost after the write, twice", []string{"lost-before", "lost-after"}, false, nil, true},
		{"delayed until after its retry", []string{"late"}, false, nil, true},
		{"partition taken over", nil, true, journaler.ErrFenced, false},
		{"partition taken over, delayed", []string{"late"}, true, journaler.ErrFenced, false},
		{"partition taken over, lost before", []string{"lost-before"}, true, journaler.ErrFenced, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &faultyTable{Store: emulator.NewStore(), faults: row.faults}
				fence := takeOver(f.Store, 1)
				if row.takenOver {
					takeOver(f.Store, 1)
				}
				ctx, cancel := context.WithCancel(context.Background())
				j := journaler.New(journaler.Options{Table: f, Session: "s"})
				r, err := j.Submit(fence, []storer.Write{{Key: "k", Value: []byte("v")}})
				is.NoErr(err)
				j.Start(ctx)
				err = r.Wait(ctx)
				is.True(errors.Is(err, row.want) || (err == nil && row.want == nil))
				before, _ := f.Get(ctx, "k")
				f.deliverDelayed()
				after, _ := f.Get(ctx, "k")
				is.Equal(before.Version, after.Version) // A delayed duplicate must not write again.
				is.Equal(after.Version != 0, row.present)
				cancel()
				_ = j.Wait()
			})
		})
	}
}

func TestTimeoutEndsTheWaitAndNotTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		fence := takeOver(s, 1)
		s.SetFaults(emulator.StoreFaults{Down: true})
		ctx, cancel := context.WithCancel(context.Background())
		j := journaler.New(journaler.Options{Table: s, Session: "s"})
		j.Start(ctx)
		r, err := j.Submit(fence, []storer.Write{{Key: "k", Value: []byte("v")}})
		is.NoErr(err)
		short, stop := context.WithTimeout(ctx, time.Second)
		is.True(errors.Is(r.Wait(short), journaler.ErrInDoubt))
		stop()
		is.True(j.Unavailable())
		s.SetFaults(emulator.StoreFaults{})
		is.NoErr(r.Wait(ctx))
		is.True(!j.Unavailable())
		cancel()
		_ = j.Wait()
	})
}

func TestOutageIsOverOnceARecordIsFencedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		fence := takeOver(s, 1)
		ctx, cancel := context.WithCancel(context.Background())
		j := journaler.New(journaler.Options{Table: s, Session: "s"})
		j.Start(ctx)
		s.SetFaults(emulator.StoreFaults{Down: true})
		r, err := j.Submit(fence, []storer.Write{{Key: "k", Value: []byte("v")}})
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		is.True(j.Unavailable())
		s.SetFaults(emulator.StoreFaults{})
		takeOver(s, 1) // A takeover as soon as the outage ends.
		is.True(errors.Is(r.Wait(ctx), journaler.ErrFenced))
		synctest.Wait()
		is.True(!j.Unavailable())
		cancel()
		_ = j.Wait()
	})
}

// TestRecordsAgainstOracle submits records of several partitions while replies are lost,
// commits are delayed and partitions are taken over. It checks that a row is written if
// and only if its record was reported as committed.
func TestRecordsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "lost-before", "lost-after", "late"}), 0, 20).Draw(rt, "verdicts")
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"write-0", "write-1", "write-2", "steal-0", "steal-1", "deliver", "wait"}), 1, 30).Draw(rt, "steps")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = runRecordSteps(faults, steps) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// submission is a submitted record and the row that it writes.
type submission struct {
	record *journaler.Record
	key    string
	value  string
}

func runRecordSteps(faults, steps []string) string {
	f := &faultyTable{Store: emulator.NewStore(), faults: faults}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	j := journaler.New(journaler.Options{Table: f, Session: "s", Interval: 10 * time.Millisecond})
	j.Start(ctx)
	fences := []leaser.Fence{takeOver(f.Store, 0), takeOver(f.Store, 1), takeOver(f.Store, 2)}
	var all []submission
	for i, s := range steps {
		n, _ := strconv.Atoi(s[len(s)-1:])
		switch s[:2] {
		case "wr":
			w := submission{key: fmt.Sprintf("k%d", i), value: s}
			w.record, _ = j.Submit(fences[n], []storer.Write{{Key: w.key, Value: []byte(w.value)}})
			all = append(all, w)
		case "st":
			takeOver(f.Store, n)
		case "de":
			f.deliverDelayed()
		case "wa":
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(time.Minute)
	f.deliverDelayed()
	for _, w := range all {
		err := w.record.Wait(ctx)
		row, _ := f.Get(ctx, w.key)
		if (err == nil) != (string(row.Value) == w.value) {
			return fmt.Sprintf("%s: the record reported %v, but the row holds %q", w.key, err, row.Value)
		}
		if err != nil && !errors.Is(err, journaler.ErrFenced) {
			return fmt.Sprintf("%s: %v", w.key, err)
		}
	}
	return ""
}

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}
