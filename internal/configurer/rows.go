package configurer

import (
	"encoding/json"
	"fmt"
)

const (
	headKey      = "config/head"
	objectPrefix = "config/object/"
	changePrefix = "config/change/"
)

// head is the row that every change updates by compare-and-swap.
type head struct {
	Version uint64 `json:"version"`
}

// Edit is the change of one object; From is nil if it is added, To if it is removed.
type Edit struct {
	Key  string          `json:"key"`
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

// Change is one accepted version: who changed what, when, from what to what.
type Change struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
	Who     string `json:"who"`
	When    string `json:"when"`
	Note    string `json:"note,omitempty"`
	Edits   []Edit `json:"edits"`
}

func changeKey(version uint64) string { return fmt.Sprintf("%s%012d", changePrefix, version) }
