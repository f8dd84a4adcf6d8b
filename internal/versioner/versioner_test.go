package versioner_test

import (
	"context"
	"fmt"
	"os"
	"path"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/versioner"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

func stream(i int) versioner.Stream {
	return versioner.Stream{Caller: "c", Hostname: "h", RequestID: fmt.Sprint(i)}
}

func origin(i int) versioner.Origin {
	return versioner.Origin{Service: "s", Version: fmt.Sprint("v", i%3)}
}

// run runs a test with a versioner over a store in a bubble of fake time.
func run(t *testing.T, test func(ctx context.Context, is *is.I, s *emulator.Store, v *versioner.Versioner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := emulator.NewStore()
		test(ctx, is.New(t), s, versioner.Start(ctx, s))
		cancel()
		synctest.Wait()
	})
}

// Another daemon, which began no stream itself, did not know the version of a stream.
func TestOriginsAreKnownToOtherDaemons(t *testing.T) {
	run(t, func(ctx context.Context, is *is.I, s *emulator.Store, v *versioner.Versioner) {
		for i := range 300 {
			v.Record(stream(i), origin(i))
			synctest.Wait()
		}
		other := versioner.Start(ctx, s)
		for i := range 300 {
			o, found, err := other.Find(ctx, stream(i))
			is.NoErr(err)
			is.True(found)
			is.Equal(o.Origin, origin(i))
		}
		_, found, err := other.Find(ctx, stream(300))
		is.NoErr(err)
		is.True(!found)
		recorded, dropped := v.Counts()
		is.Equal([]int64{recorded, dropped}, []int64{300, 0})
	})
}

// An account resumed the stream of another one by sending the id of its request.
func TestStreamsOfOtherCallersAreNotFound(t *testing.T) {
	run(t, func(ctx context.Context, is *is.I, _ *emulator.Store, v *versioner.Versioner) {
		v.Record(versioner.Stream{Caller: "a", Hostname: "h", RequestID: "1"}, origin(0))
		synctest.Wait()
		for _, q := range []versioner.Stream{
			{Caller: "b", Hostname: "h", RequestID: "1"},
			{Caller: "a", Hostname: "g", RequestID: "1"},
			{Caller: `a" "h`, RequestID: "1"},
			{Hostname: "h", RequestID: "1"},
		} {
			_, found, err := v.Find(ctx, q)
			is.NoErr(err)
			is.True(!found)
		}
	})
}

// A row that holds another stream, or that was spoiled, gave a stream a wrong version.
func TestRowsOfOtherStreamsAreNotTaken(t *testing.T) {
	run(t, func(ctx context.Context, is *is.I, s *emulator.Store, v *versioner.Versioner) {
		v.Record(stream(1), origin(1))
		synctest.Wait()
		rows, err := s.Scan(ctx, "streams/", "", 10)
		is.NoErr(err)
		is.Equal(len(rows), 1)
		for _, value := range []string{"", "{", `[]`, `{"version":"v9"}`, strings.Replace(string(rows[0].Value), `"stream":"`, `"stream":"0`, 1)} {
			_, err := s.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: rows[0].Key, Value: []byte(value)}}})
			is.NoErr(err)
			_, found, err := v.Find(ctx, stream(1))
			is.NoErr(err)
			is.True(!found)
		}
	})
}

// lossyTable is a store that loses the reply to every second commit of each partition, after
// the commit took effect. Each batch of records thus needs exactly two replies of the store.
type lossyTable struct {
	*emulator.Store

	mu      sync.Mutex
	commits map[string]int
}

// Commit implements storer.Table.
func (l *lossyTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	version, err := l.Store.Commit(ctx, tx)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	partition := path.Dir(tx.Writes[0].Key)
	l.commits[partition]++
	if l.commits[partition]%2 == 1 {
		return 0, errors.Wrap(storer.ErrUnavailable, "reply lost")
	}
	return version, nil
}

// Records were lost when the store was away for a second or lost its replies. The longest
// backoff is 0.6 s, so that a partition's two batches are acknowledged 1.3 s after the store's
// return, whatever the jitter.
func TestRecordsSurviveAShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		s := &lossyTable{Store: emulator.NewStore(), commits: map[string]int{}}
		v := versioner.Start(ctx, s)
		s.SetFaults(emulator.StoreFaults{Down: true})
		for i := range 40 {
			v.Record(stream(i), origin(i))
		}
		time.Sleep(time.Second)
		_, _, err := v.Find(ctx, stream(0))
		is.True(err != nil) // Whether there is a record is not known.
		s.SetFaults(emulator.StoreFaults{})
		time.Sleep(2 * time.Second)
		recorded, dropped := v.Counts()
		is.Equal([]int64{recorded, dropped}, []int64{40, 0})
		for i := range 40 {
			o, found, err := v.Find(ctx, stream(i))
			is.NoErr(err)
			is.True(found)
			is.Equal(o.Origin, origin(i))
		}
	})
}

// Records piled up in memory, and delayed the streams, while the store was away for long.
func TestRecordsAreBoundedInAnOutage(t *testing.T) {
	run(t, func(_ context.Context, is *is.I, s *emulator.Store, v *versioner.Versioner) {
		s.SetFaults(emulator.StoreFaults{Down: true})
		start := time.Now()
		for i := range 20_000 {
			v.Record(stream(i), origin(i))
		}
		is.Equal(time.Since(start), time.Duration(0)) // It never waits.
		_, dropped := v.Counts()
		is.True(dropped > 10_000)
		time.Sleep(2 * time.Minute)
		recorded, dropped := v.Counts()
		is.Equal([]int64{recorded, dropped}, []int64{0, 20_000})
	})
}

// Each stream of a burst cost a write of its own.
func TestRecordsShareWrites(t *testing.T) {
	run(t, func(_ context.Context, is *is.I, s *emulator.Store, v *versioner.Versioner) {
		s.SetFaults(emulator.StoreFaults{DelayMS: 100})
		for i := range 1000 {
			v.Record(stream(i), origin(i))
		}
		time.Sleep(2 * time.Second)
		recorded, _ := v.Counts()
		is.Equal(recorded, int64(1000))
		is.True(s.Counts().Commits <= 48) // At most three for each of 16 partitions.
	})
}
