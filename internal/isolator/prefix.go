package isolator

import (
	"crypto/sha256"
	"encoding/binary"
	"math/bits"
)

const (
	// fineBytes, mediumBytes and coarseBytes are the lengths of a body up to which its
	// beginnings are fingerprinted at each fineStep, mediumStep and coarseStep bytes; beyond
	// them at each longStep bytes. Small steps tell short bodies with a common beginning
	// apart, and a body of 64 KB has about 1,000 beginnings.
	fineBytes, fineStep     = 512, 16
	mediumBytes, mediumStep = 64 << 10, 64
	coarseBytes, coarseStep = 1 << 20, 1 << 10
	longStep                = 4 << 10
	// maxBeginnings bounds the beginnings of one body. A body of 4 MB has 2,776.
	maxBeginnings = 4096
	// prefixHashBytes is the length of the hash in the fingerprint of a beginning, and
	// prefixBytes that of the hash and the index of the beginning; the rest is zero.
	prefixHashBytes = 8
	prefixBytes     = 10
	// startIndex is the index of the beginning of startBytes.
	startIndex = startBytes / fineStep
	// recordedPerLevel is the number of beginnings that are recorded of those whose index is
	// a multiple of a power of two. Two bodies of which one has d more beginnings than the
	// other have a recorded beginning in common that is at most d/3 shorter than the shorter.
	recordedPerLevel = 8
)

// newPrefixes returns the fingerprints of the beginnings of a body, the shortest first. If the
// request continues a turn, the first is that of the turn, without a body.
func newPrefixes(parent string, body []byte, fields ...string) []Fingerprint {
	sum := seedOf(fields)
	list := make([]Fingerprint, 0, min(maxBeginnings, len(body)/fineStep+1, fineBytes/fineStep+len(body)/mediumStep+1))
	if parent != "" {
		list = append(list, newPrefix(seedOf(append(fields[:len(fields):len(fields)], parent)), 0))
	}
	block := make([]byte, 0, sha256.Size+longStep)
	for at, index := 0, 1; index < maxBeginnings; index++ {
		end := at + stepAt(at)
		if end > len(body) {
			break
		}
		sum = sha256.Sum256(append(append(block[:0], sum[:]...), body[at:end]...))
		list = append(list, newPrefix(sum, index))
		at = end
	}
	return list
}

// seedOf returns the hash with which the beginnings of a request with the given fields start.
func seedOf(fields []string) (sum [sha256.Size]byte) {
	seed := newFingerprint(nil, fields...)
	copy(sum[:], seed[:])
	return sum
}

// stepAt returns the number of bytes from one beginning to the next longer one.
func stepAt(length int) int {
	switch {
	case length < fineBytes:
		return fineStep
	case length < mediumBytes:
		return mediumStep
	case length < coarseBytes:
		return coarseStep
	}
	return longStep
}

// newPrefix returns the fingerprint of a beginning with an index.
func newPrefix(sum [sha256.Size]byte, index int) Fingerprint {
	var f Fingerprint
	copy(f[:prefixHashBytes], sum[:])
	binary.BigEndian.PutUint16(f[prefixHashBytes:], uint16(index))
	return f
}

// isPrefix reports whether a fingerprint is that of a beginning.
func (f Fingerprint) isPrefix() bool {
	return f != Fingerprint{} && [len(f) - prefixBytes]byte(f[prefixBytes:]) == [len(f) - prefixBytes]byte{}
}

// index returns the index of a beginning; a longer one has a higher index.
func (f Fingerprint) index() int {
	if !f.isPrefix() {
		return startIndex
	}
	return int(binary.BigEndian.Uint16(f[prefixHashBytes:]))
}

// isRecorded reports whether the beginning of an index is recorded for a body with a number of
// beginnings.
func isRecorded(index, count int) bool {
	if index == 0 {
		return true
	}
	level := bits.TrailingZeros(uint(index))
	return count>>level-index>>level < recordedPerLevel
}
