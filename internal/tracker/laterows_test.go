package tracker_test

import (
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/tracker"
)

// TestRowsBelowAWrongNumberAreFollowed guards against a replica that is no longer followed after
// a row with a sequence or a start time that it has not reached, and against late writes of the
// store that bring an earlier state back.
func TestRowsBelowAWrongNumberAreFollowed(t *testing.T) {
	type number struct{ startedMS, sequence int64 }
	rows := []struct {
		name     string
		numbers  []number
		draining bool // Of the state that is known at the end; the rows below the highest number drain.
	}{
		{"a sequence too large", []number{{1, 1 << 40}, {1, 2}, {1, 3}, {1, 4}}, true},
		{"a start in the future", []number{{1 << 42, 2}, {1, 2}, {1, 3}, {1, 4}}, true},
		{"two late writes", []number{{1, 7}, {1, 5}, {1, 6}}, false},
		{"late writes among newer rows", []number{{1, 7}, {1, 3}, {1, 4}, {1, 8}, {1, 5}, {1, 6}}, false},
		{"one row read again and again", []number{{1, 7}, {1, 5}, {1, 5}, {1, 5}, {1, 5}}, false},
		{"late writes in descending order", []number{{1, 7}, {1, 6}, {1, 5}, {1, 4}, {1, 3}}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			tr := newTracker()
			highest := number{}
			for i, n := range row.numbers {
				r := replica("a")
				r.StartedMS, r.Sequence = n.startedMS, n.sequence
				if n.startedMS > highest.startedMS || n.startedMS == highest.startedMS && n.sequence > highest.sequence {
					highest = n
				} else {
					r.Draining = true
				}
				tr.Update([]tracker.Row{{ID: "a", Replica: r}}, at(float64(i)))
			}
			is.Equal(tr.Find("a").Draining, row.draining)
		})
	}
}
