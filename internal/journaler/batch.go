package journaler

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"pimentorail.example/pimentorail/internal/storer"
)

const batchPrefix = "batch/"

// batchRow is the value of a session's batch row; it identifies the last committed batch.
type batchRow struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
}

// batch is a set of records that commit in one transaction.
type batch struct {
	number  uint64
	records []*Record
}

// fenceVersions returns the newest fence version of each partition row that the batch uses.
func (b *batch) fenceVersions() map[string]uint64 {
	versions := map[string]uint64{}
	for _, r := range b.records {
		c := r.fence.Condition()
		versions[c.Key] = max(versions[c.Key], c.Version)
	}
	return versions
}

// rejectFenced settles with ErrFenced the records whose fence version differs from the
// given version of the partition row.
func (b *batch) rejectFenced(versions map[string]uint64) {
	owned := b.records[:0]
	for _, r := range b.records {
		c := r.fence.Condition()
		if versions[c.Key] == c.Version {
			owned = append(owned, r)
			continue
		}
		r.settle(ErrFenced)
	}
	b.records = owned
}

func (b *batch) settle(err error) {
	for _, r := range b.records {
		r.settle(err)
	}
}

// transaction merges the writes of all records and the batch row; a later write of a row
// replaces an earlier one.
func (b *batch) transaction(key string, version uint64) (storer.Transaction, batchRow) {
	var tx storer.Transaction
	for k, v := range b.fenceVersions() {
		tx.Conditions = append(tx.Conditions, storer.Condition{Key: k, Version: v})
	}
	sort.Slice(tx.Conditions, func(i, j int) bool { return tx.Conditions[i].Key < tx.Conditions[j].Key })
	index := map[string]int{}
	for _, r := range b.records {
		for _, w := range r.writes {
			if i, ok := index[w.Key]; ok {
				tx.Writes[i] = w
				continue
			}
			index[w.Key] = len(tx.Writes)
			tx.Writes = append(tx.Writes, w)
		}
	}
	s := batchRow{Number: b.number, Hash: digest(tx.Writes)}
	data, _ := json.Marshal(s)
	tx.Conditions = append(tx.Conditions, storer.Condition{Key: key, Version: version})
	tx.Writes = append(tx.Writes, storer.Write{Key: key, Value: data})
	return tx, s
}

func digest(writes []storer.Write) string {
	h := sha256.New()
	for _, w := range writes {
		h.Write([]byte(w.Key))
		h.Write([]byte{0})
		h.Write(w.Value)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
