package versioner

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Origin is where a stream began, as the daemon knew it that carried the stream.
type Origin struct {
	Service string `json:"service"`
	// Version is the version of the replica's software.
	Version string `json:"version"`
	// Replica is the replica's id, and StartedMS the start time of its process in Unix
	// milliseconds, zero if its row named none. Replica is empty in rows of the former build.
	Replica   string `json:"replica,omitempty"`
	StartedMS int64  `json:"started-ms,omitempty"`
	// BeganMS is when the stream began, in Unix milliseconds by the daemon's clock.
	BeganMS  int64    `json:"began-ms,omitempty"`
	Evidence Evidence `json:"evidence,omitempty"`
}

// startedBefore reports whether a process that started at a time, in Unix milliseconds, may have
// begun the stream.
func (o Origin) startedBefore(startedMS int64) bool {
	return startedMS <= o.BeganMS+clockTolerance.Milliseconds()
}

// clockTolerance is the difference between the clocks of two machines that is reckoned with.
const clockTolerance = 500 * time.Millisecond

// Recorded is an origin as the store has it.
type Recorded struct {
	Origin
	// StoreVersion is the version of the store at which it was written. The row of the replica
	// at which the stream began is older.
	StoreVersion uint64
}

// row is the value of a row. An origin that is not proven has its stream under Claim, where a
// daemon of the former build, which takes each origin for proven, doesn't find it.
type row struct {
	Stream string `json:"stream,omitempty"`
	Claim  string `json:"claim,omitempty"`
	Origin
}

func encode(d digest, o Origin) ([]byte, error) {
	r := row{Stream: d.name(), Origin: o}
	if !o.Evidence.isProof() {
		r.Stream, r.Claim = "", d.name()
	}
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode origin of a stream")
}

// decode returns the origin of a stream, and false if the row is that of another stream.
func decode(value []byte, d digest) (Origin, bool) {
	var r row
	if len(value) == 0 || json.Unmarshal(value, &r) != nil {
		return Origin{}, false
	}
	return r.Origin, r.Stream == d.name() || r.Claim == d.name()
}
