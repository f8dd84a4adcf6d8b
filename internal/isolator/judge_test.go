package isolator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/isolator"
)

// mark returns the mark of a request with a short body.
func mark(name string) isolator.Mark { return isolator.NewMark([]byte(name), "/path") }

// crashOf returns a crash some seconds after a fixed time with the requests that it broke off.
func crashOf(seconds float64, names ...string) isolator.Crash {
	c := isolator.Crash{Service: "engine", At: time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))}
	for _, n := range names {
		c.Suspects = append(c.Suspects, mark(n))
	}
	return c
}

func TestVerdicts(t *testing.T) {
	rows := []struct {
		name      string
		crashes   []isolator.Crash
		condemned string
		innocent  string
	}{
		{"the one that was at all crashes", []isolator.Crash{crashOf(0, "x", "a", "b"), crashOf(1, "x", "b", "c"), crashOf(2, "x", "d")}, "x", "abcd"},
		{"two crashes are not enough", []isolator.Crash{crashOf(0, "x"), crashOf(1, "x")}, "", "x"},
		{"one that was there each time may be innocent", []isolator.Crash{crashOf(0, "x", "a"), crashOf(1, "x", "a"), crashOf(2, "x", "a")}, "", "xa"},
		{"until the two are told apart", []isolator.Crash{crashOf(0, "x", "a"), crashOf(1, "x", "a"), crashOf(2, "x", "a"), crashOf(3, "x")}, "x", "a"},
		{"two that crash replicas by themselves", []isolator.Crash{crashOf(0, "x"), crashOf(1, "y"), crashOf(2, "x"), crashOf(3, "y"), crashOf(4, "x"), crashOf(5, "y")}, "xy", ""},
		{"one that was at crashes of several others", []isolator.Crash{
			crashOf(0, "x", "a"), crashOf(1, "x"), crashOf(2, "x"), crashOf(3, "y", "a"), crashOf(4, "y"), crashOf(5, "y"), crashOf(6, "z", "a"), crashOf(7, "z"), crashOf(8, "z"),
		}, "xyz", "a"},
		{"an outage", []isolator.Crash{
			crashOf(0, "a", "b"), crashOf(0.1, "c", "a"), crashOf(0.2, "d"), crashOf(0.3, "e", "a"), crashOf(0.3, "f"), crashOf(0.4, "g"), crashOf(0.4, "h"),
		}, "", "abcdefgh"},
		{"one that ends many replicas at once", []isolator.Crash{crashOf(0, "x", "a"), crashOf(0.1, "x"), crashOf(0.2, "x", "b"), crashOf(0.3, "x")}, "x", "ab"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			verdicts := isolator.Judge(row.crashes)
			for _, c := range row.condemned {
				is.True(verdicts[mark(string(c)).Whole].Condemned)
			}
			for _, c := range row.innocent {
				is.True(!verdicts[mark(string(c)).Whole].Condemned)
			}
		})
	}
}

// TestAPairThatAlwaysComesTogether guards against a pair of requests that crash replicas
// without end because either may be innocent: after six crashes one of them is condemned. If
// replicas crash without it, it was the other, which explains all crashes.
func TestAPairThatAlwaysComesTogether(t *testing.T) {
	is := is.New(t)
	condemned := func(crashes []isolator.Crash) (names []string) {
		verdicts := isolator.Judge(crashes)
		for _, n := range []string{"x", "y"} {
			if verdicts[mark(n).Whole].Condemned {
				names = append(names, n)
			}
		}
		return names
	}
	var crashes []isolator.Crash
	for n := range 5 {
		crashes = append(crashes, crashOf(float64(n), "x", "y"))
	}
	is.Equal(len(condemned(crashes)), 0)
	crashes = append(crashes, crashOf(5, "x", "y"))
	first := condemned(crashes)
	is.Equal(len(first), 1)
	other := map[string]string{"x": "y", "y": "x"}[first[0]]
	for n := range 3 {
		crashes = append(crashes, crashOf(float64(6+n), other))
	}
	is.Equal(condemned(crashes), []string{other})
}

// isHeld reports whether a beginning of a request is condemned.
func isHeld(verdicts map[isolator.Fingerprint]isolator.Verdict, m isolator.Mark) bool {
	return slices.ContainsFunc(isolator.Beginnings(m), func(f isolator.Fingerprint) bool { return verdicts[f].Condemned })
}

// TestAConversationIsCondemnedByItsBeginning guards against a crashing request that is never
// known again because its client sends it with more of the conversation each time, against a
// beginning that is shorter than what the crashing requests have in common, and against the
// beginning of a request that is condemned although the whole explains all crashes.
func TestAConversationIsCondemnedByItsBeginning(t *testing.T) {
	is := is.New(t)
	conversation := func(common int, more string) isolator.Mark {
		return isolator.NewMark(append(make([]byte, common), more...), "/path")
	}
	var marks []isolator.Mark
	var crashes []isolator.Crash
	for n := range 3 {
		marks = append(marks, conversation(300, fmt.Sprint(n)))
		c := crashOf(float64(n))
		c.Suspects = []isolator.Mark{marks[n]}
		crashes = append(crashes, c)
	}
	verdicts := isolator.Judge(crashes)
	is.True(isHeld(verdicts, marks[0]))
	is.True(isHeld(verdicts, conversation(300, "and more of it")))
	is.True(!isHeld(verdicts, conversation(280, "another conversation with the same start")))
	is.True(!isHeld(isolator.Judge(crashes, conversation(300, "a sound one")), marks[0]))
	is.True(isHeld(isolator.Judge(crashes, conversation(270, "a sound one")), marks[0]))
	for n := range crashes {
		crashes[n].Suspects = marks[:1]
	}
	verdicts = isolator.Judge(crashes)
	is.True(verdicts[marks[0].Whole].Condemned)
	is.True(!isHeld(verdicts, marks[0]))
}

// TestInnocentsAreNotCondemned draws storms of crashes: one request ends all replicas at which
// it is, and others are at any of the crashes, some at almost all. The one must be condemned
// as soon as no other was at all of its crashes, and none of the others ever.
func TestInnocentsAreNotCondemned(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		others := rapid.IntRange(0, 20).Draw(rt, "others")
		var crashes []isolator.Crash
		count := make([]int, others)
		for n := range rapid.IntRange(1, 8).Draw(rt, "crashes") {
			names := []string{"guilty"}
			for o := range others {
				if rapid.Bool().Draw(rt, "there") {
					names = append(names, fmt.Sprint("other ", o))
					count[o]++
				}
			}
			crashes = append(crashes, crashOf(float64(n), names...))
		}
		verdicts := isolator.Judge(crashes)
		most := 0
		for o, n := range count {
			most = max(most, n)
			if verdicts[mark(fmt.Sprint("other ", o)).Whole].Condemned && n < len(crashes) {
				rt.Fatalf("other %d was at %d of %d crashes and is condemned", o, n, len(crashes))
			}
		}
		if len(crashes) >= 3 && most < len(crashes) && !verdicts[mark("guilty").Whole].Condemned {
			rt.Fatalf("the guilty one is not condemned after %d crashes", len(crashes))
		}
	})
}
