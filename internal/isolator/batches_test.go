package isolator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/isolator"
)

// TestCrashingRequestsOfOneMoment guards against several crashing requests that come at the
// same moment and are taken for an outage each time. Each crashes a replica with sound requests
// beside it. A daemon that starts later learns of all crashes at once. A retry is late if it is sent more than 3 s after the third crash.
func TestCrashingRequestsOfOneMoment(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 4 * time.Second} {
		t.Run(every.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDeployment()
				defer d.stop()
				daemons := []*isolator.Isolator{d.start(), d.start(), d.start()}
				crashes, late := map[int]int{}, map[int]int{}
				var third time.Time
				for round := range 10 {
					if round == 2 {
						third = time.Now()
					}
					for n := range 4 {
						i, name := daemons[(round+n)%3], fmt.Sprint("crashing ", n)
						if i.Check(mark(name)).Condemned {
							continue
						}
						crashes[n]++
						if round > 2 && time.Since(third) > 3*time.Second {
							late[n]++
						}
						breakOff(i, fmt.Sprint("r", round, "-", n), name, fmt.Sprint("beside ", n, round), fmt.Sprint("and ", n, round))
						time.Sleep(20 * time.Millisecond)
					}
					time.Sleep(every)
				}
				t.Log(crashes, late)
				restarted := d.start()
				for n := range 4 {
					is.True(restarted.Check(mark(fmt.Sprint("crashing ", n))).Condemned)
					is.True(late[n] <= 3)
					is.True(crashes[n] <= 6)
				}
			})
		})
	}
}
