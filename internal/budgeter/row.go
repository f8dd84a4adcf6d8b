package budgeter

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// parts spreads the budgets over the store's partitions.
const parts = 256

// row is the durable state of one program.
type row struct {
	// Held is the number of tokens spent or reserved by each holder.
	Held map[string]int `json:"held"`
}

// others returns the tokens held by all holders but one.
func (r *row) others(me string) int {
	n := 0
	for d, held := range r.Held {
		if d != me {
			n += held
		}
	}
	return n
}

// with returns the row's value with another figure for one holder.
func (r *row) with(me string, held int) ([]byte, error) {
	next := row{Held: map[string]int{me: held}}
	for d, h := range r.Held {
		if d != me {
			next.Held[d] = h
		}
	}
	value, err := json.Marshal(next)
	return value, errors.Wrap(err, "encode budget")
}

func decode(value []byte) (row, error) {
	var r row
	if len(value) == 0 {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode budget")
}

func key(program string) string {
	return fmt.Sprintf("budgets/%02x/%s", xxhash.Sum64String(program)%parts, program)
}
