package versioner_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/versioner"
)

const beganMS = 1_000_000

// A stream went on at another version because of weak evidence, or was begun anew despite strong
// evidence.
func TestOriginsAreSettledByWhatIsFound(t *testing.T) {
	later, earlier := int64(beganMS+2000), int64(beganMS-2000)
	for _, c := range []struct {
		evidence versioner.Evidence
		finding  versioner.Finding
		verdict  versioner.Verdict
	}{
		{versioner.Certain, versioner.Finding{Replaced: true, StartedMS: earlier}, versioner.Settled},
		{versioner.Proven, versioner.Finding{}, versioner.Settled},
		{versioner.Proven, versioner.Finding{Replaced: true, StartedMS: later}, versioner.Settled},
		{versioner.Proven, versioner.Finding{Replaced: true, StartedMS: earlier}, versioner.Refused},
		{versioner.Proven, versioner.Finding{Replaced: true}, versioner.Refused},
		{versioner.Unproven, versioner.Finding{Alive: true}, versioner.Settled},
		{versioner.Unproven, versioner.Finding{}, versioner.Open},
		{versioner.Unproven, versioner.Finding{Covered: true}, versioner.Settled},
		{versioner.Unproven, versioner.Finding{Replaced: true, StartedMS: later, Covered: true}, versioner.Refused},
		{versioner.Doubtful, versioner.Finding{Alive: true}, versioner.Settled},
		{versioner.Doubtful, versioner.Finding{}, versioner.Open},
		{versioner.Doubtful, versioner.Finding{Covered: true}, versioner.Refused},
		{"unheard-of", versioner.Finding{Covered: true}, versioner.Refused},
		{"unheard-of", versioner.Finding{Alive: true}, versioner.Settled},
	} {
		o := versioner.Origin{Service: "s", Version: "v1", Replica: "r", StartedMS: 1, BeganMS: beganMS, Evidence: c.evidence}
		is.New(t).Equal(o.Settle(c.finding), c.verdict) // The case of the list.
	}
}

// A daemon of the former build, which takes each row for proven, joined a stream that was not.
func TestUnprovenOriginsAreHiddenFromTheFormerBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := emulator.NewStore()
		v := versioner.Start(ctx, store)
		for i, e := range []versioner.Evidence{versioner.Proven, versioner.Certain, versioner.Unproven, versioner.Doubtful} {
			v.Record(stream(i), versioner.Origin{Service: "s", Version: "v1", Replica: "r", Evidence: e})
		}
		synctest.Wait()
		rows, err := store.Scan(ctx, "streams/", "", 10)
		is.NoErr(err)
		is.Equal(len(rows), 4)
		hidden := 0
		for _, r := range rows {
			var former struct {
				Stream string `json:"stream"`
			}
			is.NoErr(json.Unmarshal(r.Value, &former))
			if former.Stream == "" {
				hidden++
			}
		}
		is.Equal(hidden, 2)
		cancel()
		synctest.Wait()
	})
}
