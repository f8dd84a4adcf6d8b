package budgeter

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// keyPrefixes is the number of key prefixes that distribute the rows over the store's
// partitions.
const keyPrefixes = 256

const (
	// maxPlainIDBytes is the length of the longest id that is part of a key unhashed, since the
	// store takes no longer key.
	maxPlainIDBytes = 200
	// hashedPrefix begins the part of a key that stands for a longer id. No other id begins with it.
	hashedPrefix = " #"
)

// maxHeld bounds the tokens of one holder, so that sums of them don't overflow.
const maxHeld = 1 << 48

// errInvalidRow reports a row that no daemon writes. Another attempt reads the same.
var errInvalidRow = errors.New("budgeter: invalid row")

// row is the durable state of one program.
type row struct {
	// Held is the number of tokens spent or reserved by each holder.
	Held map[string]int `json:"held"`
}

// heldByOthers returns the number of tokens held by all holders except one.
func (r *row) heldByOthers(holder string) int {
	n := 0
	for h, held := range r.Held {
		if h != holder {
			n += held
		}
	}
	return n
}

// encodeWith returns the encoded row with the tokens of one holder replaced.
func (r *row) encodeWith(holder string, held int) ([]byte, error) {
	next := row{Held: map[string]int{holder: held}}
	for h, n := range r.Held {
		if h != holder {
			next.Held[h] = n
		}
	}
	value, err := json.Marshal(next)
	return value, errors.Wrap(err, "encode budget")
}

// decode returns the state of a program, which is empty without a value. The tokens that are
// left of its budget are not known if a row is invalid.
func decode(value []byte) (row, error) {
	var r row
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, errors.Wrapf(errInvalidRow, "decode budget: %.200s", err.Error())
	}
	if r.Held == nil {
		return row{}, errors.Wrapf(errInvalidRow, "value of %d bytes has no tokens held", len(value))
	}
	for holder, held := range r.Held {
		if held < 0 || held > maxHeld {
			return row{}, errors.Wrapf(errInvalidRow, "holder %.100q has %d tokens, limit %d", holder, held, int64(maxHeld))
		}
	}
	return r, nil
}

// key returns the key of a program's row.
func key(program string) string {
	prefix := xxhash.Sum64String(program) % keyPrefixes
	if len(program) > maxPlainIDBytes {
		sum := sha256.Sum256([]byte(program))
		program = hashedPrefix + hex.EncodeToString(sum[:])
	}
	return fmt.Sprintf("budgets/%02x/%s", prefix, program)
}
