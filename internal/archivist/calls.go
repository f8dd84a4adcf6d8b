package archivist

import (
	"encoding/base64"

	"pimentorail.example/pimentorail/internal/storer"
)

const (
	// maxCallBytes and maxCallRows bound one call to the store, which takes at most 1 MB with
	// values in base64, and 100 entries.
	maxCallBytes = 990_000
	maxCallRows  = 99
	// rowOverheadBytes is the size of a row in a call without its key and value.
	rowOverheadBytes = 80
	// keyEscapeFactor is the largest ratio of the size of a key in JSON to its own.
	keyEscapeFactor = 6
)

// calls returns the transactions that store a turn. If the rows don't fit into one, the first
// row, which makes the turn exist, is written last.
func (n *node) calls(rowBytes int) ([]storer.Transaction, error) {
	header, values, err := n.encode(rowBytes, false)
	if err != nil {
		return nil, err
	}
	if calls := packRows(n.id, header, values); len(calls) == 1 {
		return calls, nil
	}
	if header, values, err = n.encode(rowBytes, true); err != nil {
		return nil, err
	}
	return packRows(n.id, header, values), nil
}

// packRows distributes the rows of a turn over as few calls as possible, the first row last.
func packRows(id string, header *rowHeader, values [][]byte) []storer.Transaction {
	var calls []storer.Transaction
	var call storer.Transaction
	size := 0
	for i := 1; i <= len(values); i++ {
		w := storer.Write{Key: key(id, 0), Value: values[i%len(values)]}
		if i < len(values) {
			w.Key = header.rowKey(id, i)
		}
		n := base64.StdEncoding.EncodedLen(len(w.Value)) + keyEscapeFactor*len(w.Key) + rowOverheadBytes
		if len(call.Writes) > 0 && (size+n > maxCallBytes || len(call.Writes) == maxCallRows) {
			calls = append(calls, call)
			call, size = storer.Transaction{}, 0
		}
		call.Writes = append(call.Writes, w)
		size += n
	}
	return append(calls, call)
}
