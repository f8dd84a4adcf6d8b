package server_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/isolator"
)

// memberReadPeriod is how long a daemon takes to read a new member row.
const memberReadPeriod = 6 * time.Second

// crashes returns the number of crashes that the daemons of a zone have recorded.
func (z *strandedZone) crashes() int {
	z.t.Helper()
	rows, err := z.store.Scan(context.Background(), isolator.Table+"/", "", 100)
	if err != nil {
		z.t.Fatal(err)
	}
	return len(rows)
}

// A daemon whose peers were killed counted no crash, since their member rows remain. Without
// links to any replica it is cut off itself, and must count none. A service whose few replicas
// are all down, since each crashed after the other, looked like that too.
func TestADaemonWhosePeersWereKilledCountsCrashes(t *testing.T) {
	for name, row := range map[string]struct {
		lost, crashes int
		// apart is the time between the losses of two replicas.
		apart time.Duration
	}{
		"one replica ends":            {1, 1, 0},
		"all links are broken":        {3, 0, 0},
		"all end one after the other": {3, 3, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			z := newStrandedZone(t, 1, 3)
			z.daemons[0].put("members-z/peers/X", `{"address":"`+z.ip(1)+`:7003"}`)
			z.daemons[0].put("members-z/peers/Y", `{"address":"`+z.ip(2)+`:7003"}`)
			time.Sleep(memberReadPeriod)
			for range cap(z.replicas[0].arrived) / 4 * len(z.replicas) {
				go (&cutRequest{z}).run()
			}
			for _, r := range z.replicas {
				<-r.arrived // Each replica runs the request.
			}
			for _, l := range z.links[0][:row.lost] {
				l.cut(t, refused)
				time.Sleep(row.apart)
			}
			time.Sleep(time.Second)
			crashes := z.crashes()
			for _, r := range z.replicas {
				close(r.release) // A replica is only closed without requests.
			}
			is.Equal(crashes, row.crashes)
		})
	}
}
