package isolator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/storer"
)

// previousRow is a row as the previous build reads and writes it.
type previousRow struct {
	Service  string         `json:"service"`
	Instance string         `json:"instance"`
	Suspects []previousMark `json:"suspects"`
	Served   string         `json:"served"`
	Excused  []string       `json:"excused"`
}

// previousMark is a request in a row of the previous build.
type previousMark struct {
	Whole string `json:"whole"`
	Start string `json:"start"`
}

const noFingerprint = "00000000000000000000000000000000"

// put writes a row as the previous build does.
func (d *deployment) put(name string, r previousRow) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = d.store.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: storer.Prefix(isolator.Table) + name, Value: value}}})
	return err
}

// rows returns all rows as the previous build reads them, by name.
func (d *deployment) rows(t *testing.T) map[string]previousRow {
	list, err := d.store.Scan(context.Background(), storer.Prefix(isolator.Table), "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]previousRow{}
	for _, r := range list {
		var v previousRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			t.Fatalf("row %q: %v", r.Name(), err)
		}
		// The previous build ignores rows for which this does not hold.
		if len(r.Value) > 65536 || len(v.Suspects) > 64 || len(v.Excused) > 256 || len(v.Served) != 32 || v.Instance == "" && v.Served == noFingerprint {
			t.Fatalf("row %q is not readable: %d bytes, %+v", r.Name(), len(r.Value), v)
		}
		found[r.Name()] = v
	}
	return found
}

// TestRowsOfThePreviousBuild guards against crashes and excuses that are not known because a
// daemon of the previous build recorded them. Its rows name no beginnings but the start.
func TestRowsOfThePreviousBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		i := d.start()
		long := strings.Repeat("the same prompt ", 20)
		crash := func(name string, marks ...isolator.Mark) {
			r := previousRow{Service: "engine", Instance: name, Served: noFingerprint}
			for _, m := range marks {
				r.Suspects = append(r.Suspects, previousMark{m.Whole.String(), m.Start.String()})
			}
			is.NoErr(d.put(strings.Repeat("0", 23)+name+"-previous", r))
		}
		for _, name := range []string{"1", "2"} {
			crash(name, mark("guilty"), mark("excused"))
		}
		crash("3", mark("guilty"))
		is.NoErr(d.put("served-"+mark("excused").Whole.String()+"-previous", previousRow{Served: mark("excused").Whole.String(), Excused: []string{"1", "2"}}))
		time.Sleep(time.Second)
		is.Equal(i.Check(mark("guilty")), isolator.Verdict{Crashes: 3, Condemned: true})
		is.Equal(i.Check(mark("excused")), isolator.Verdict{})
		for _, name := range []string{"4", "5", "6"} {
			crash(name, isolator.NewMark([]byte(long+name), "/path"))
		}
		time.Sleep(2 * time.Second)
		is.True(i.Check(isolator.NewMark([]byte(long+"another"), "/path")).Held)
		start := isolator.NewMark([]byte(long), "/path").Start.String()
		is.NoErr(d.put("served-"+start+"-previous", previousRow{Served: start, Excused: []string{"4", "5", "6"}}))
		time.Sleep(time.Second)
		is.Equal(i.Check(isolator.NewMark([]byte(long+"another"), "/path")), isolator.Verdict{})
	})
}

// TestRowsForThePreviousBuild guards against rows that daemons of the previous build ignore or
// that the store does not take: ones of 64 requests of 4 MB, of served beginnings and of trials.
func TestRowsForThePreviousBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		first, second := d.start(), d.start()
		body := []byte(strings.Repeat("the same prompt ", 4<<20/16-10))
		turn := func(n int) isolator.Mark {
			return isolator.NewTurnMark("turn", append(body[:len(body):len(body)], fmt.Sprint("turn ", n)...), "/path")
		}
		var marks []isolator.Mark
		for n := range 67 {
			marks = append(marks, turn(n))
		}
		for n := range 3 {
			for _, m := range marks[n : n+64] {
				first.BrokeOff("engine", fmt.Sprint("r", n), "r", m)
			}
			time.Sleep(time.Second)
		}
		for n := range 3 {
			first.BrokeOff("engine", fmt.Sprint("s", n), "s", isolator.NewMark(append(body[:300:300], fmt.Sprint(n, " other")...), "/other"))
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		is.True(second.Try(context.Background(), isolator.NewMark(append(body[:300:300], "a sound one"...), "/other")))
		second.Served(isolator.NewMark(append(body[:300:300], "a sound one"...), "/other"), time.Now())
		time.Sleep(time.Second)
		kinds := map[string]int{}
		for name, r := range d.rows(t) {
			switch {
			case r.Instance != "":
				is.Equal(len(name), 24+len("-daemon-1"))
				kinds["crash"]++
				if strings.HasPrefix(r.Instance, "r") {
					is.Equal(len(r.Suspects), 64)
					is.True(r.Suspects[0].Whole != r.Suspects[1].Whole && r.Suspects[0].Start == r.Suspects[1].Start)
				}
			case strings.HasPrefix(name, "served-"):
				is.Equal(len(r.Excused), 0)
				kinds["served"]++
			case strings.HasPrefix(name, "trial-"):
				is.Equal(len(r.Excused), 0)
				kinds["trial"]++
			}
		}
		is.Equal(kinds["crash"], 6)
		is.True(kinds["served"] > 0)
		is.Equal(kinds["trial"], 1)
	})
}
