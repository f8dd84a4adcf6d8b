package isolator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Fingerprint is the hash of what a client sent. The zero value is that of nothing.
type Fingerprint [16]byte

// newFingerprint returns the fingerprint of a request's fields and body. It is cryptographic, so
// that no client can make one that is equal to another's.
func newFingerprint(body []byte, fields ...string) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(f)))
		h.Write(size[:])
		h.Write([]byte(f))
	}
	binary.BigEndian.PutUint64(size[:], uint64(len(body)))
	h.Write(size[:])
	h.Write(body)
	var out Fingerprint
	copy(out[:], h.Sum(nil))
	return out
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(f) {
		return errors.Errorf("fingerprint %.50q is not %d bytes in hexadecimal", text, len(f))
	}
	copy(f[:], b)
	return nil
}
