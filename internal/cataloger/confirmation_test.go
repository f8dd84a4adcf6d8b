package cataloger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/cataloger"
)

const maxAge = 3 * time.Second

// reads is a daemon's sequence of reads of the configuration.
type reads struct {
	keeper cataloger.Keeper
	now    time.Time
}

// read makes one attempt, which takes a time.
func (r *reads) read(took time.Duration, succeeds bool) {
	began := r.now
	r.now = r.now.Add(took)
	r.keeper.Try(began, r.now)
	if succeeds {
		r.keeper.Confirm(began)
	}
}

func (r *reads) certainty() cataloger.Certainty { return r.keeper.Certainty(r.now, maxAge) }

// TestCertaintyInOutagesAndPauses guards against a 401 for a key that an unread version added,
// against an outage in which every key is refused, and against a process that serves withdrawn
// keys when it has just resumed.
func TestCertaintyInOutagesAndPauses(t *testing.T) {
	is := is.New(t)
	r := &reads{now: time.Now()}
	is.Equal(r.certainty(), cataloger.Confirmed) // Nothing records the reads of this keeper.
	for range 5 {
		r.read(1400*time.Millisecond, true)
		is.Equal(r.certainty(), cataloger.Confirmed)
	}
	for r.certainty() == cataloger.Confirmed { // An outage in which the store refuses.
		r.read(time.Millisecond, false)
		r.now = r.now.Add(150 * time.Millisecond)
	}
	is.Equal(r.certainty(), cataloger.Unreachable)
	for range 5 { // The store is silent.
		r.read(2300*time.Millisecond, false)
		r.now = r.now.Add(150 * time.Millisecond)
		is.Equal(r.certainty(), cataloger.Unreachable)
	}
	r.now = r.now.Add(10 * time.Second) // The process is frozen in the outage.
	is.Equal(r.certainty(), cataloger.Stalled)
	r.read(time.Millisecond, false)
	is.Equal(r.certainty(), cataloger.Stalled) // One attempt does not show that the outage goes on.
	r.now = r.now.Add(1500 * time.Millisecond)
	r.read(time.Millisecond, false)
	is.Equal(r.certainty(), cataloger.Unreachable)
	r.read(time.Millisecond, true)
	is.Equal(r.certainty(), cataloger.Confirmed)
}

// TestAReadThatAPauseInterruptedConfirmsNothing guards against a reply that was sent before a pause
// and read after it, and against an attempt that failed since the pause exceeded its timeout.
func TestAReadThatAPauseInterruptedConfirmsNothing(t *testing.T) {
	for _, succeeds := range []bool{true, false} {
		is := is.New(t)
		r := &reads{now: time.Now()}
		r.read(time.Millisecond, true)
		r.read(8*time.Second, succeeds)
		is.Equal(r.certainty(), cataloger.Stalled)
		r.now = r.now.Add(150 * time.Millisecond)
		r.read(time.Millisecond, true)
		is.Equal(r.certainty(), cataloger.Confirmed)
	}
}

// TestASuspensionCounts guards against a VM that was suspended, for which the steady clock stands
// still, and whose daemon takes its configuration for confirmed afterwards.
func TestASuspensionCounts(t *testing.T) {
	is := is.New(t)
	r := &reads{now: time.Now()}
	r.read(time.Millisecond, true)
	is.Equal(r.certainty(), cataloger.Confirmed)
	// Without a reading of the steady clock the comparison is that of the wall clock.
	is.Equal(r.keeper.Certainty(r.now.Round(0).Add(time.Minute), maxAge), cataloger.Stalled)
}

// TestConfirmedMeansReadLately checks over random reads, failures and pauses that a catalog counts
// as confirmed exactly as long as a read holds that began within the time.
func TestConfirmedMeansReadLately(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &reads{now: time.Now()}
		r.read(time.Millisecond, true)
		last := r.now.Add(-time.Millisecond)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			took := time.Duration(rapid.IntRange(0, 2300).Draw(t, "took ms")) * time.Millisecond
			succeeds := rapid.Bool().Draw(t, "succeeds")
			if succeeds {
				last = r.now
			}
			r.read(took, succeeds)
			r.now = r.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 150, 4000}).Draw(t, "pause ms")) * time.Millisecond)
			if confirmed := r.certainty() == cataloger.Confirmed; confirmed != (r.now.Sub(last) <= maxAge) {
				t.Fatalf("confirmed: %v, %v after the last read", confirmed, r.now.Sub(last))
			}
		}
	})
}

// TestAnUnreadableVersionConfirmsNothing guards against a final 401 for a key that the newest version
// added, because a daemon can't decode that version and takes the one before for the newest.
func TestAnUnreadableVersionConfirmsNothing(t *testing.T) {
	is := is.New(t)
	r := &reads{now: time.Now()}
	r.read(time.Millisecond, true)
	is.Equal(r.certainty(), cataloger.Confirmed)
	r.keeper.SetUnreadable(true)
	for range 3 {
		r.read(1400*time.Millisecond, true)
		is.Equal(r.certainty(), cataloger.Unreachable)
		is.True(r.keeper.Fresh(r.now, maxAge)) // It is read as often as before.
	}
	r.keeper.SetUnreadable(false)
	is.Equal(r.certainty(), cataloger.Confirmed)
}
