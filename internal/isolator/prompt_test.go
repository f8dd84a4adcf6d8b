package isolator_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/isolator"
)

// TestFewCrashesAreJudgedAtOnce guards against a request that crashes further replicas after its
// third because an earlier judgment waited for a processor, which put off the next one.
func TestFewCrashesAreJudgedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		i := d.start()
		for n := range 3 {
			is.Equal(i.Check(mark("guilty")).Crashes, n)
			i.PutOffJudgment(400 * time.Millisecond)
			breakOff(i, fmt.Sprint("r", n), "guilty", fmt.Sprint("beside ", n))
			is.Equal(i.Check(mark("guilty")).Crashes, n+1) // The client's next attempt follows at once.
		}
		is.True(i.Check(mark("guilty")).Condemned)
	})
}

// TestAStormOfSuspectsIsNotJudgedAtEachCheck guards against a daemon that judges many suspects
// anew for each request.
func TestAStormOfSuspectsIsNotJudgedAtEachCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		i := d.start()
		for n := range 40 {
			breakOff(i, "r0", fmt.Sprint("beside ", n))
			breakOff(i, "r1", fmt.Sprint("and ", n))
		}
		is.Equal(i.Check(mark("beside 0")).Crashes, 1)
		i.PutOffJudgment(400 * time.Millisecond)
		breakOff(i, "r2", "guilty")
		is.Equal(i.Check(mark("guilty")).Crashes, 0)
		time.Sleep(400 * time.Millisecond)
		is.Equal(i.Check(mark("guilty")).Crashes, 1)
	})
}

// BenchmarkPromptJudgment measures a judgment of as many rows and suspects as are never put off,
// which all begin in the same way.
func BenchmarkPromptJudgment(b *testing.B) {
	var list []isolator.Crash
	for n := range 8 {
		c := isolator.Crash{Service: "engine", At: time.Unix(int64(1_000_000+n), 0)}
		for k := range 3 {
			c.Suspects = append(c.Suspects, isolator.NewMark([]byte(strings.Repeat("the same prompt ", 1000)+fmt.Sprint(n, k)), "/path"))
		}
		list = append(list, c)
	}
	for b.Loop() {
		isolator.Judge(list)
	}
}
