package isolator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
)

// Table is the table, with its partition, that holds a row for each crash and daemon, one for
// each suspect that was served and one for each condemned beginning that was tried.
const Table = "crashes/all"

// maxArrival is the time in which a row comes to the other daemons while the store serves.
const maxArrival = time.Second

// row is the value of a row: the requests that one daemon had at a replica that crashed, or,
// without an instance, a suspect that was served after it had been at the crashes of Excused.
type row struct {
	Service  string      `json:"service"`
	Instance string      `json:"instance"`
	Suspects []suspect   `json:"suspects"`
	Served   Fingerprint `json:"served"`
	Excused  []string    `json:"excused"`
	// At is when the daemon learned of the crash, in Unix milliseconds. Without it the crash
	// was when another daemon learned of the row.
	At int64 `json:"at,omitempty"`
	// Prefixes are beginnings with which the daemon served requests; Served is the longest.
	Prefixes prefixes `json:"prefixes,omitempty"`
	// Earlier is set if all of these requests arrived before the first crash of a suspect with
	// the beginning.
	Earlier bool `json:"earlier,omitempty"`
	// Trial names the daemon that last began to try a request with the condemned beginning
	// Served. Daemons that don't know of it find no excused instance.
	Trial string `json:"trial,omitempty"`
}

// equal reports whether a row has not grown into another. Rows only grow.
func (r row) equal(o row) bool {
	return len(r.Suspects) == len(o.Suspects) && len(r.Excused) == len(o.Excused)
}

// has reports whether a request with a fingerprint was at the crash.
func (r row) has(f Fingerprint) bool {
	return slices.ContainsFunc(r.Suspects, func(s suspect) bool { return s.Whole == f })
}

// rowName returns the name of the row that a daemon writes for an instance.
func rowName(instance, daemon string) string {
	sum := sha256.Sum256([]byte(instance))
	return hex.EncodeToString(sum[:12]) + "-" + daemon
}

// servedName returns the name of the row in which a daemon says that a suspect was served.
func servedName(f Fingerprint, daemon string) string { return "served-" + f.String() + "-" + daemon }

// pooledName returns the name of the row in which a daemon says that it served requests with
// beginnings. Other beginnings have another name, so that the content of a row never changes.
func pooledName(list prefixes, earlier bool, daemon string) string {
	text := make([]string, len(list), len(list)+1)
	for n, f := range list {
		text[n] = f.String()
	}
	if earlier {
		text = append(text, "earlier")
	}
	return servedName(newFingerprint(nil, text...), daemon)
}

// trialName returns the name of the row of the trials of a beginning.
func trialName(f Fingerprint) string { return "trial-" + f.String() }

// record is a row with the time at which this daemon learned of it, the time of the crash, and
// its version if it came from the store.
type record struct {
	row
	seenAt, happenedAt time.Time
	version            uint64
}

// happenedAt returns the time of a crash of which this daemon learns now. Several rows that come
// late together, as after a start, must not look like one outage. The clocks of daemons differ,
// so that the time of a row that comes at once is that of its arrival.
func (r row) happenedAt(now time.Time) time.Time {
	at := time.UnixMilli(r.At)
	if r.At == 0 || now.Sub(at) <= maxArrival || now.Sub(at) > condemnedRetention {
		return now
	}
	return at
}

// prefixCount returns the number of beginnings in the row.
func (r row) prefixCount() int {
	n := len(r.Prefixes)
	for _, s := range r.Suspects {
		n += len(s.Prefixes)
	}
	return n
}

// withoutPrefixes returns the row without the beginnings of its suspects.
func (r row) withoutPrefixes() row {
	r.Suspects = slices.Clone(r.Suspects)
	for n := range r.Suspects {
		r.Suspects[n].Prefixes = nil
	}
	return r
}

func decodeRow(r storer.Row) (row, error) {
	var v row
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return row{}, errors.Errorf("crash row %q: %.200s", r.Name(), err.Error())
	}
	if len(v.Suspects) > maxSuspects || len(v.Excused) > maxExcused || v.Instance == "" && v.Served == (Fingerprint{}) {
		return row{}, errors.Errorf("crash row %q has %d suspects, %d excused instances, instance %.100q and served request %s", r.Name(), len(v.Suspects), len(v.Excused), v.Instance, v.Served)
	}
	return v, nil
}
