package cataloger

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/ratelimiter"
)

// KeyDigest is the SHA-256 digest of an account's key, which is not kept itself.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account; it is immutable.
type Account struct {
	name     string
	priority int
	ranked   bool
	limit    ratelimiter.Limit
	keys     []KeyDigest
}

// NewAccount returns an account with a name that is not empty and the digests of its keys.
func NewAccount(name string, keys ...KeyDigest) *Account { return &Account{name: name, keys: keys} }

// WithPriority returns the account with a priority of its own, where 0 is the highest.
func (a *Account) WithPriority(priority int) *Account {
	next := *a
	next.priority, next.ranked = priority, true
	return &next
}

// WithLimit returns the account with a limit of its requests over all daemons.
func (a *Account) WithLimit(l ratelimiter.Limit) *Account {
	next := *a
	next.limit = l
	return &next
}

// Limit returns the limit of the account's requests over all daemons, none for a nil account.
func (a *Account) Limit() ratelimiter.Limit {
	if a == nil {
		return ratelimiter.Limit{}
	}
	return a.limit
}

// Name returns the account's name, which is empty for a nil account.
func (a *Account) Name() string {
	if a == nil {
		return ""
	}
	return a.name
}

// Priority returns the account's own priority, where 0 is the highest, and false for a nil
// account and one that has none.
func (a *Account) Priority() (int, bool) {
	if a == nil {
		return 0, false
	}
	return a.priority, a.ranked
}

// accounts are the accounts of a catalog by the first bytes of their keys' digests.
type accounts map[uint64][]keyHolder

// keyHolder is the account that holds one key.
type keyHolder struct {
	digest  KeyDigest
	account *Account
}

// newAccounts returns the accounts by key, and the limits that they have by name. It returns an error if
// two accounts have one name or one key, or one has no name.
func newAccounts(list []*Account) (accounts, map[string]ratelimiter.Limit, error) {
	names := make(map[string]bool, len(list))
	limits := map[string]ratelimiter.Limit{}
	holders := accounts{}
	for _, a := range list {
		switch {
		case a.name == "":
			return nil, nil, errors.New("an account has no name")
		case names[a.name]:
			return nil, nil, errors.Errorf("two accounts have the name %.100q", a.name)
		}
		names[a.name] = true
		if a.limit.IsSet() {
			limits[a.name] = a.limit
		}
		for _, k := range a.keys {
			switch other := holders.find(k); {
			case other == nil:
				holders[k.bucket()] = append(holders[k.bucket()], keyHolder{digest: k, account: a})
			case other != a:
				return nil, nil, errors.Errorf("accounts %.100q and %.100q have a key in common", other.name, a.name)
			}
		}
	}
	return holders, limits, nil
}

func (k KeyDigest) bucket() uint64 { return binary.BigEndian.Uint64(k[:]) }

// find returns the account that holds a key, or nil. Digests are compared in constant time.
func (a accounts) find(k KeyDigest) *Account {
	for _, h := range a[k.bucket()] {
		if subtle.ConstantTimeCompare(h.digest[:], k[:]) == 1 {
			return h.account
		}
	}
	return nil
}
