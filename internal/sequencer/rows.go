package sequencer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
)

const maxInlineBytes = 32 << 10

const (
	stateLive  = "live"
	stateEnded = "ended"
)

// programRow is the stored state of a program.
type programRow struct {
	State         string  `json:"state"`
	Budget        int     `json:"budget"`
	Spent         int     `json:"spent"`
	Reserved      int     `json:"reserved,omitempty"`
	NextNumber    int     `json:"next"`
	Chain         string  `json:"chain"`
	HistoryTokens int     `json:"history-tokens"`
	Attained      int     `json:"attained"`
	Intent        *intent `json:"intent,omitempty"`
	LastTarget    string  `json:"last-target,omitempty"`
}

// intent is the stored record of a service call that may have been dispatched and must not
// be repeated.
type intent struct {
	Number  int    `json:"number"`
	Attempt string `json:"attempt"`
	Key     string `json:"key,omitempty"`
	Hash    string `json:"hash"`
	// TargetName is the name of the target; the replica is not known yet.
	TargetName string `json:"target"`
}

// turnRow is the stored record of a finished call, of a model or a service.
type turnRow struct {
	Number   int               `json:"number"`
	Kind     Kind              `json:"kind"`
	Key      string            `json:"key,omitempty"`
	Hash     string            `json:"hash"`
	Attempt  string            `json:"attempt"`
	Messages []json.RawMessage `json:"messages,omitempty"`
	Outcome  Outcome           `json:"outcome"`
	Previous string            `json:"previous"`
	Chain    string            `json:"chain"`
	// Object is the key of the object that holds a turn of more than maxInlineBytes.
	Object string `json:"object,omitempty"`
}

// chainHash returns the hash of the chain after a turn. It omits the outcome of a service
// call, since a late answer may replace an unknown outcome.
func chainHash(previous string, t turnRow) string {
	h := sha256.New()
	h.Write([]byte(previous))
	h.Write([]byte(t.Hash))
	if t.Kind == ModelCall {
		for _, m := range t.Messages {
			h.Write(m)
		}
		h.Write(t.Outcome.Content)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func encodeProgram(n Name, r programRow) (storer.Write, error) {
	data, err := json.Marshal(r)
	return storer.Write{Key: n.rowKey(), Value: data}, errors.Wrap(err, "encode program")
}

func decodeProgram(data []byte) (programRow, error) {
	var r programRow
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, "program row")
	}
	if r.State != stateLive && r.State != stateEnded {
		return r, errors.Errorf("program row: state %q is neither live nor ended", r.State)
	}
	if r.NextNumber < 1 || r.Spent < 0 || r.Reserved < 0 {
		return r, errors.New("program row: next, spent or reserved is out of range")
	}
	return r, nil
}

// encodeTurn returns the write of a turn. A turn of more than maxInlineBytes is put into
// the object store first, and the row refers to it.
func encodeTurn(ctx context.Context, o storer.Objects, n Name, t turnRow) (storer.Write, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return storer.Write{}, errors.Wrap(err, "encode turn")
	}
	if len(data) > maxInlineBytes {
		sum := sha256.Sum256(data)
		key := hex.EncodeToString(sum[:])
		if err := o.Put(ctx, key, data); err != nil {
			return storer.Write{}, errors.Wrap(err, "store turn")
		}
		reference := turnRow{Number: t.Number, Kind: t.Kind, Key: t.Key, Hash: t.Hash, Chain: t.Chain, Object: key}
		if data, err = json.Marshal(reference); err != nil {
			return storer.Write{}, errors.Wrap(err, "encode turn")
		}
	}
	return storer.Write{Key: n.turnKey(t.Number), Value: data}, nil
}

// decodeTurn decodes a turn row and fetches the object that it refers to, if any.
func decodeTurn(ctx context.Context, o storer.Objects, data []byte) (turnRow, error) {
	var t turnRow
	if err := json.Unmarshal(data, &t); err != nil {
		return t, errors.Wrap(err, "turn row")
	}
	if t.Object == "" {
		return t, nil
	}
	long, err := o.Fetch(ctx, t.Object)
	if err != nil {
		return t, errors.Wrapf(err, "turn %d", t.Number)
	}
	var stored turnRow
	return stored, errors.Wrapf(json.Unmarshal(long, &stored), "turn %d", t.Number)
}
