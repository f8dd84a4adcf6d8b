package authenticator

import (
	"strings"

	"pimentorail.example/pimentorail/internal/cataloger"
)

// scheme is the authentication scheme of keys (RFC 6750). Schemes have no case (RFC 9110).
const scheme = "bearer"

// form is what a request has in place of a key.
type form int

const (
	absent form = iota
	malformed
	presented
)

// Credential is the key that a request presents, as its digest; the zero value presents none.
type Credential struct {
	form   form
	digest cataloger.KeyDigest
}

// Parse returns the credential in the values of a request's header field Authorization. Anything
// but one bearer key, such as a second value or a list, is malformed.
func Parse(values []string) Credential {
	if len(values) == 0 {
		return Credential{}
	}
	name, key, _ := strings.Cut(values[0], " ")
	key = strings.Trim(key, " \t")
	if len(values) > 1 || !strings.EqualFold(name, scheme) || key == "" || strings.ContainsAny(key, " \t,") {
		return Credential{form: malformed}
	}
	return Credential{form: presented, digest: cataloger.DigestKey(key)}
}

// Account returns the account of a catalog that holds the key, or nil.
func (c Credential) Account(catalog *cataloger.Catalog) *cataloger.Account {
	if c.form != presented {
		return nil
	}
	return catalog.Account(c.digest)
}

// String returns the credential's form as logs name it, never the key or its digest.
func (c Credential) String() string { return [...]string{"absent", "malformed", "presented"}[c.form] }
