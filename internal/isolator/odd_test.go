package isolator_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/storer"
)

// Odd rows that are rewritten all the time wrote a line each time, as long as the row.
func TestOddCrashRowsDoNotFloodTheLog(t *testing.T) {
	values := []string{
		`null`, `[]`, `7`, strings.Repeat("[", 60_000), `{"x":` + strings.Repeat(`{"a":`, 12_000),
		`{"instance":"` + strings.Repeat("i", 60_000) + `","suspects":[{"whole":"` + strings.Repeat("f", 60_000) + `"}]}`,
		`{"instance":"x","at":1e400}`, `{"instance":"x","at":"NaN"}`, `{"instance":"x","at":9223372036854775808}`,
		`{"instance":"x","suspects":[` + strings.Repeat(`{},`, 64) + `{}]}`, `{"instance":"x","prefixes":"` + strings.Repeat("A", 60_000) + `"}`,
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var log bytes.Buffer
		l := logger.Start(ctx, &log)
		i := isolator.Start(ctx, emulator.NewStore(), l, isolator.Options{Name: "d", Crashed: func(context.Context, string) bool { return true }})
		defer func() { _ = l.Wait() }()
		defer cancel()
		for n := range 40 {
			for k, value := range values {
				i.Update([]storer.Change{{Row: storer.Row{Key: fmt.Sprint("crashes/all/odd-", k), Value: []byte(value), Version: uint64(n + 1)}}}, uint64(n+1))
			}
			time.Sleep(time.Second)
		}
		synctest.Wait()
		lines := strings.Count(log.String(), "row ignored")
		is.True(lines >= len(values) && lines <= 2*len(values))
		if log.Len() > 32<<10 {
			t.Fatalf("%d bytes: %.2000s", log.Len(), log.String())
		}
	})
}

// A time of a crash near the ends of the range of integers neither counts longer than others nor
// ends the daemon.
func TestOddTimesOfCrashes(t *testing.T) {
	for _, at := range []string{"9223372036854775807", "-9223372036854775808"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment()
			defer d.stop()
			i := d.start()
			_, err := d.store.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{
				Key:   storer.Prefix(isolator.Table) + "odd",
				Value: []byte(`{"instance":"x","at":` + at + `,"suspects":[{"whole":"00000000000000000000000000000001","start":"00000000000000000000000000000001"}]}`),
			}}})
			is.NoErr(err)
			for n := range 3 {
				breakOff(i, fmt.Sprint("r", n), "guilty")
			}
			time.Sleep(knownWithin)
			is.True(i.Check(mark("guilty")).Condemned)
			time.Sleep(15 * time.Minute)
			rows, err := storer.ScanAll(context.Background(), d.store, storer.Prefix(isolator.Table))
			is.NoErr(err)
			is.Equal(len(rows), 0)
		})
	}
}
