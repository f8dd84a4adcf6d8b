package scoper

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"unicode/utf8"
)

const (
	// accountDigits is the number of hexadecimal digits that stand for an account, 128 bits.
	accountDigits = 32
	// maxPlainBytes is the length of the longest id that is a part of its scoped id unhashed.
	// The store bounds keys to 200 bytes.
	maxPlainBytes = 96
	// marker begins each scoped id. No id of a client begins with it, since HTTP removes the
	// space before the value of a header field.
	marker = " "
	// plain and hashed separate the account from its id and from the hash of its id.
	plain, hashed = ":", "#"
)

// Scope is the account whose ids are meant; in the zero value, that of a configuration without
// accounts, each id stands for itself.
type Scope struct{ prefix string }

// Of returns the scope of the account with a name, or, for an empty name, the scope that all
// clients without an account share.
func Of(account string) Scope {
	sum := sha256.Sum256([]byte(account))
	return Scope{prefix: marker + hex.EncodeToString(sum[:])[:accountDigits]}
}

// ID returns the text of at most 200 bytes under which the thing that the account calls id is
// kept; it differs from that of every other account and id, and is empty for an empty id. In the
// zero Scope it is the id, whatever its length.
func (s Scope) ID(id string) string {
	switch {
	case s == Scope{} || id == "":
		return id
	case isPlain(id):
		return s.prefix + plain + id
	}
	sum := sha256.Sum256([]byte(id))
	return s.prefix + hashed + hex.EncodeToString(sum[:])
}

// isPlain reports whether an id may be a part of a key unhashed. The archivist adds "#" and a number
// to the keys of a turn's additional rows, and JSON changes what is not valid UTF-8.
func isPlain(id string) bool {
	return len(id) <= maxPlainBytes && !strings.Contains(id, hashed) && utf8.ValidString(id)
}

// Account returns what the scoped ids of one account have in common, which is empty for an id of
// the zero Scope.
func Account(scopedID string) string {
	if !strings.HasPrefix(scopedID, marker) {
		return ""
	}
	return scopedID[:min(len(scopedID), len(marker)+accountDigits)]
}

// String returns a text that names the account's scope, which is empty for the zero Scope.
func (s Scope) String() string { return s.prefix }

// IsScoped reports whether an id is one that the scope of an account returned.
func IsScoped(id string) bool { return strings.HasPrefix(id, marker) }
