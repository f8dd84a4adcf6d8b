package versioner

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Origin is where a stream began.
type Origin struct {
	Service string `json:"service"`
	// Version is the version of the replica's software.
	Version string `json:"version"`
}

// Recorded is an origin as the store has it.
type Recorded struct {
	Origin
	// StoreVersion is the version of the store at which it was written. The row of the replica
	// at which the stream began is older.
	StoreVersion uint64
}

// row is the value of a row.
type row struct {
	Stream string `json:"stream"`
	Origin
}

func encode(d digest, o Origin) ([]byte, error) {
	value, err := json.Marshal(row{Stream: d.name(), Origin: o})
	return value, errors.Wrap(err, "encode origin of a stream")
}

// decode returns the origin of a stream, and false if the row is that of another stream.
func decode(value []byte, d digest) (Origin, bool) {
	var r row
	if len(value) == 0 || json.Unmarshal(value, &r) != nil || r.Stream != d.name() {
		return Origin{}, false
	}
	return r.Origin, true
}
