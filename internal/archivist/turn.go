package archivist

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// maxAncestors is the maximum number of ancestors that a row names, parent first.
const maxAncestors = 12

// Turn is one request of a program together with its response.
type Turn struct {
	ID     string
	Parent string
	// Text is what the turn adds to the prompts of the turns that continue it.
	Text []byte
}

// node is a turn with the ids of its nearest ancestors, parent first.
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

// rowHeader is the first line of a turn's first row; the text follows it.
type rowHeader struct {
	Ancestors []string `json:"ancestors,omitempty"`
	// More is the number of additional rows, which hold the rest of the text.
	More int `json:"more,omitempty"`
}

// encode returns the values of a turn's rows, of at most size bytes each.
func (n *node) encode(size int) ([][]byte, error) {
	header := rowHeader{Ancestors: n.ancestors}
	line, err := json.Marshal(header)
	if err != nil {
		return nil, errors.Wrap(err, "encode turn")
	}
	// 32 bytes are left for the newline and for More, which is not set yet.
	textBytes := size - len(line) - 32
	if len(n.text) <= textBytes {
		return [][]byte{append(append(line, '\n'), n.text...)}, nil
	}
	rest := n.text[textBytes:]
	header.More = (len(rest) + size - 1) / size
	if line, err = json.Marshal(header); err != nil {
		return nil, errors.Wrap(err, "encode turn")
	}
	values := [][]byte{append(append(line, '\n'), n.text[:textBytes]...)}
	for len(rest) > 0 {
		k := min(size, len(rest))
		values, rest = append(values, rest[:k]), rest[k:]
	}
	return values, nil
}

// decode parses the first row of a turn; it also returns the number of additional rows.
func decode(id string, value []byte) (*node, int, error) {
	line, text, ok := bytes.Cut(value, []byte("\n"))
	var header rowHeader
	if !ok {
		return nil, 0, errors.Errorf("row of turn %q has no header line", id)
	}
	if err := json.Unmarshal(line, &header); err != nil {
		return nil, 0, errors.Wrapf(err, "decode header of turn %q", id)
	}
	return &node{id: id, ancestors: header.Ancestors, text: text}, header.More, nil
}
