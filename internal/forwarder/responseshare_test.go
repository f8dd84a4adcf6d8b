package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/forwarder"
)

// shareLimit is the memory of responses in these tests. It is a power of two, so that halves of
// it are exact.
const shareLimit = 16 << 20

// holdAll adds bytes to a response until it may hold no more, and returns how many it holds.
func holdAll(hold func(n int) error) int64 {
	held := int64(0)
	for step := 1 << 20; step > 0; step /= 2 {
		for hold(step) == nil {
			held += int64(step)
		}
	}
	return held
}

// TestAFaultyReplicaLeavesMemoryToOthers guards against responses without end of some replicas
// that leave nothing to the responses of another one, however many there are.
func TestAFaultyReplicaLeavesMemoryToOthers(t *testing.T) {
	for _, faulty := range []int{0, 1, 2, 6} {
		for _, responses := range []int{1, 24, 300} {
			t.Run(fmt.Sprint(faulty, " with ", responses), func(t *testing.T) {
				is := is.New(t)
				l := forwarder.NewLeases(shareLimit)
				for range responses {
					for n := range faulty {
						hold, _ := l.Open(fmt.Sprint(n))
						holdAll(hold)
					}
				}
				is.True(l.Used() <= shareLimit)
				if faulty == 1 {
					is.True(l.Used() <= shareLimit/2)
				}
				is.True(l.TakesOutput("sound"))
				hold, drop := l.Open("sound")
				held := holdAll(hold)
				is.True(held >= shareLimit>>(faulty+2))
				is.True(held <= shareLimit/4+forwarder.FreeResponseBytes)
				before := l.Used()
				drop(int(held))
				is.Equal(l.Used(), before-max(0, held-forwarder.FreeResponseBytes))
			})
		}
	}
}

// TestResponsesStayInTheirMemory guards against counts that drift, a limit that is exceeded,
// and an ordinary response that is refused because others use the memory.
func TestResponsesStayInTheirMemory(t *testing.T) {
	type response struct {
		instance string
		held     int
		hold     func(n int) error
		drop     func(n int)
	}
	rapid.Check(t, func(t *rapid.T) {
		l := forwarder.NewLeases(int64(rapid.IntRange(1, shareLimit).Draw(t, "limit")))
		var open []*response
		counted := func() (all int64, ofReplica map[string]int64) {
			ofReplica = map[string]int64{}
			for _, r := range open {
				n := int64(max(0, r.held-forwarder.FreeResponseBytes))
				all += n
				ofReplica[r.instance] += n
			}
			return all, ofReplica
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch {
			case len(open) == 0 || rapid.Bool().Draw(t, "open"):
				r := &response{instance: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "instance"))}
				r.hold, r.drop = l.Open(r.instance)
				if r.hold(forwarder.FreeResponseBytes) != nil {
					t.Fatal("an ordinary response is refused")
				}
				r.held = forwarder.FreeResponseBytes
				open = append(open, r)
			case rapid.Bool().Draw(t, "hold"):
				r := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
				n := rapid.IntRange(1, 1<<20).Draw(t, "bytes")
				if r.hold(n) == nil {
					r.held += n
				}
			default:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[i].drop(open[i].held)
				open = append(open[:i], open[i+1:]...)
			}
			all, ofReplica := counted()
			if l.Used() != all {
				t.Fatalf("%d bytes counted, %d held", l.Used(), all)
			}
			for instance, n := range ofReplica {
				// A share is never negative while the limit is kept.
				if forwarder.ResponseShare(shareLimit, all, n, n) < 0 {
					t.Fatalf("instance %s holds %d of %d", instance, n, all)
				}
			}
		}
		for _, r := range open {
			r.drop(r.held)
		}
		if l.Used() != 0 {
			t.Fatalf("%d bytes are left", l.Used())
		}
	})
}
