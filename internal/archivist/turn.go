package archivist

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// maxAncestors is the number of ancestors that a row names, the parent first.
const maxAncestors = 12

// Turn is one request of a program with its answer.
type Turn struct {
	ID     string
	Parent string
	// Text is what the turn adds to the prompt of its successors.
	Text []byte
}

// node is a turn with the ids of its nearest ancestors, the parent first.
type node struct {
	id        string
	ancestors []string
	text      []byte
}

func (n *node) parent() string {
	if len(n.ancestors) == 0 {
		return ""
	}
	return n.ancestors[0]
}

// rowHead is the first line of a row; the text follows it.
type rowHead struct {
	Ancestors []string `json:"ancestors,omitempty"`
	// More is the number of further rows that hold the rest of the text.
	More int `json:"more,omitempty"`
}

// encode splits a turn into the values of its rows, of at most size bytes each.
func (n *node) encode(size int) ([][]byte, error) {
	head := rowHead{Ancestors: n.ancestors}
	first, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode turn")
	}
	room := size - len(first) - 32
	if len(n.text) <= room {
		return [][]byte{append(append(first, '\n'), n.text...)}, nil
	}
	rest := n.text[room:]
	head.More = (len(rest) + size - 1) / size
	if first, err = json.Marshal(head); err != nil {
		return nil, errors.Wrap(err, "encode turn")
	}
	values := [][]byte{append(append(first, '\n'), n.text[:room]...)}
	for len(rest) > 0 {
		k := min(size, len(rest))
		values, rest = append(values, rest[:k]), rest[k:]
	}
	return values, nil
}

// decode reads the first row of a turn.
func decode(id string, value []byte) (*node, int, error) {
	first, text, ok := bytes.Cut(value, []byte("\n"))
	var head rowHead
	if !ok {
		return nil, 0, errors.Errorf("row of turn %q has no head", id)
	}
	if err := json.Unmarshal(first, &head); err != nil {
		return nil, 0, errors.Wrapf(err, "row of turn %q", id)
	}
	return &node{id: id, ancestors: head.Ancestors, text: text}, head.More, nil
}
