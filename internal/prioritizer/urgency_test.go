package prioritizer_test

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/prioritizer"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

func TestUrgencies(t *testing.T) {
	rows := []struct {
		left time.Duration
		want prioritizer.Urgency
	}{
		{-time.Second, prioritizer.Missed},
		{0, prioritizer.Missed},
		{99 * time.Millisecond, prioritizer.Missed},
		{100 * time.Millisecond, 2},
		{499 * time.Millisecond, 2},
		{500 * time.Millisecond, 3},
		{time.Second, 4},
		{1999 * time.Millisecond, 4},
		{2 * time.Second, prioritizer.Usual},
		{time.Hour, prioritizer.Usual},
	}
	for _, row := range rows {
		is.New(t).Equal(prioritizer.Of(row.left), row.want)
	}
}

// TestUrgencyRises draws two times left: a program with less time is at least as urgent unless
// it has missed its finish time, and only those that have are less urgent than usual.
func TestUrgencyRises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		less := time.Duration(rapid.Int64Range(-1e10, 1e11).Draw(rt, "less"))
		more := less + time.Duration(rapid.Int64Range(0, 1e11).Draw(rt, "difference"))
		a, b := prioritizer.Of(less), prioritizer.Of(more)
		if a != prioritizer.Missed && a > b || b > prioritizer.Usual && b != prioritizer.Missed || a < 0 {
			rt.Fatalf("urgency %d with %v left, %d with %v left", a, less, b, more)
		}
	})
}
