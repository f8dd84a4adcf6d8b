package isolator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies what a client sent: equal requests have equal fingerprints, whoever
// receives them and whatever is added to them on their way. The zero value is that of no
// request.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request's fields, such as its caller, path and
// body. It is cryptographic, so that no client can make one that is equal to another's.
func NewFingerprint(fields ...string) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(f)))
		h.Write(size[:])
		h.Write([]byte(f))
	}
	var out Fingerprint
	copy(out[:], h.Sum(nil))
	return out
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
