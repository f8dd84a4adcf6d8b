package archivist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// maxAncestors is the maximum number of ancestors that a row names, parent first.
	maxAncestors = 12
	// headerReserveBytes is left in a first row for the newline and for rowHeader.More, which
	// is not set yet when the size of the header is measured.
	headerReserveBytes = 32
	// maxMore bounds the additional rows of a turn. One of MaxTurnBytes has that many if a row
	// takes 256 bytes.
	maxMore = MaxTurnBytes / 256
	// headerShare is the inverse of the part of a row that the header may take. Long ids of
	// ancestors are left out beyond it, apart from the parent's.
	headerShare = 2
	// maxAnyRows bounds the additional rows that a header may name, whatever the size of a row
	// was when they were written.
	maxAnyRows = MaxTurnBytes >> 10
	// contentBytes is the length of rowHeader.Content, 64 bits in hexadecimal.
	contentBytes = 16
)

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
	// Content is set if the rows were written in several calls. It is a hash of the text and
	// a part of the keys of the additional rows, so that rows of another attempt to record
	// the turn, which ran it with another result, are never mixed with these.
	Content string `json:"content,omitempty"`
	// Bytes is the size of the text, set with Content.
	Bytes int `json:"bytes,omitempty"`
}

// rowKey returns the key of a turn's additional row.
func (h *rowHeader) rowKey(id string, row int) string {
	if h.Content == "" {
		return key(id, row)
	}
	return fmt.Sprintf("%s#%s.%d", key(id, 0), h.Content, row)
}

// fit removes ancestors until the header leaves room for text in a row, and returns the
// header line. It returns ErrTooLarge if the parent's id alone is too long.
func (h *rowHeader) fit(rowBytes int) ([]byte, error) {
	for {
		line, err := json.Marshal(h)
		switch {
		case err != nil:
			return nil, errors.Wrap(err, "encode turn")
		case len(line) <= rowBytes/headerShare:
			return line, nil
		case len(h.Ancestors) <= 1:
			return nil, errors.Wrapf(ErrTooLarge, "header of %d bytes", len(line))
		}
		h.Ancestors = h.Ancestors[:len(h.Ancestors)-1]
	}
}

// encode returns the header and the values of a turn's rows, of at most size bytes each. With
// split, the rows may be written in several calls.
func (n *node) encode(size int, split bool) (*rowHeader, [][]byte, error) {
	header := &rowHeader{Ancestors: n.ancestors}
	if split {
		header.Content, header.Bytes = fmt.Sprintf("%016x", xxhash.Sum64(n.text)), len(n.text)
	}
	line, err := header.fit(size)
	if err != nil {
		return nil, nil, err
	}
	textBytes := min(max(0, size-len(line)-headerReserveBytes), len(n.text))
	rest := n.text[textBytes:]
	header.More = (len(rest) + size - 1) / size
	if line, err = json.Marshal(header); err != nil {
		return nil, nil, errors.Wrap(err, "encode turn")
	}
	values := [][]byte{append(append(line, '\n'), n.text[:textBytes]...)}
	for len(rest) > 0 {
		k := min(size, len(rest))
		values, rest = append(values, rest[:k]), rest[k:]
	}
	return header, values, nil
}

// check returns an error if no daemon writes such a header. Its numbers are the sizes of
// allocations, and each ancestor is a read of the store.
func (h *rowHeader) check(rowBytes int) error {
	switch {
	case len(h.Ancestors) > maxAncestors:
		return errors.Errorf("%d ancestors, limit %d", len(h.Ancestors), maxAncestors)
	case slices.Contains(h.Ancestors, ""):
		return errors.New("an ancestor without an id")
	case h.Content == "" && (h.Bytes != 0 || h.More < 0 || h.More > maxCallRows):
		return errors.Errorf("%d additional rows and %d bytes without content, limits %d and 0", h.More, h.Bytes, maxCallRows)
	case h.Content == "":
		return nil
	case h.Bytes < 0 || h.Bytes > MaxTurnBytes:
		return errors.Errorf("%d bytes, limit %d", h.Bytes, MaxTurnBytes)
	case h.More < 0 || h.More > h.Bytes || h.More > max(maxAnyRows, h.Bytes/max(1, rowBytes)+1):
		return errors.Errorf("%d additional rows for %d bytes", h.More, h.Bytes)
	}
	if _, err := strconv.ParseUint(h.Content, 16, 64); err != nil || len(h.Content) != contentBytes {
		return errors.Errorf("content %.50q is not %d hexadecimal digits", h.Content, contentBytes)
	}
	return nil
}

// decode parses the first row of a turn; the node has the text of that row. Rows have at most
// rowBytes bytes.
func decode(id string, value []byte, rowBytes int) (*node, *rowHeader, error) {
	line, text, ok := bytes.Cut(value, []byte("\n"))
	var header rowHeader
	if !ok || !bytes.HasPrefix(line, []byte("{")) {
		return nil, nil, errors.Errorf("row of turn %q has no header line", id)
	}
	if err := json.Unmarshal(line, &header); err != nil {
		return nil, nil, errors.Errorf("decode header of turn %q: %.200s", id, err.Error())
	}
	if err := header.check(rowBytes); err != nil {
		return nil, nil, errors.Wrapf(err, "header of turn %q", id)
	}
	if header.More < 0 || header.More > maxMore || header.Bytes < 0 || header.Bytes > MaxTurnBytes {
		return nil, nil, errors.Errorf("header of turn %q names %d rows and %d bytes", id, header.More, header.Bytes)
	}
	// Each ancestor is read ahead in a goroutine of its own.
	header.Ancestors = header.Ancestors[:min(len(header.Ancestors), maxAncestors)]
	return &node{id: id, ancestors: header.Ancestors, text: text}, &header, nil
}
