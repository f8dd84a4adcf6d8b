package cataloger

import (
	"cmp"
	"slices"
	"strings"

	"pimentorail.example/pimentorail/internal/ratelimiter"
)

// Catalog is one version of the routes, services and limits. It is immutable.
type Catalog struct {
	version uint64
	// routes holds the routes of each host, those with the longest prefix first.
	routes   map[string][]*Route
	services map[string]*Service
	limits   Limits
	// accounts is nil if the configuration names none, as opposed to an empty list.
	accounts accounts
	// rateLimits are the limits of the accounts that have one, by name.
	rateLimits map[string]ratelimiter.Limit
	unknown    []string
}

// New returns a catalog with the given version and contents.
func New(version uint64, routes []*Route, services []*Service, limits Limits) *Catalog {
	c := &Catalog{version: version, routes: map[string][]*Route{}, services: map[string]*Service{}, limits: limits}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Version returns the version, or zero for a nil catalog.
func (c *Catalog) Version() uint64 {
	if c == nil {
		return 0
	}
	return c.version
}

// WithAccounts returns the catalog with accounts, of which there may be none. It returns an error
// if two accounts have one name or one key, or one has no name.
func (c *Catalog) WithAccounts(list []*Account) (*Catalog, error) {
	holders, limits, err := newAccounts(list)
	if err != nil {
		return nil, err
	}
	next := *c
	next.accounts, next.rateLimits = holders, limits
	return &next, nil
}

// HasAccounts reports whether the configuration names its accounts, so that a client needs the
// key of one on each route that is not public.
func (c *Catalog) HasAccounts() bool { return c.accounts != nil }

// RateLimits returns the limits of the accounts that have one, by name. The caller must not modify them.
func (c *Catalog) RateLimits() map[string]ratelimiter.Limit {
	if c == nil {
		return nil
	}
	return c.rateLimits
}

// Account returns the account that holds the key with a digest, or nil.
func (c *Catalog) Account(k KeyDigest) *Account { return c.accounts.find(k) }

// WithUnknownFields returns the catalog with the names of the configuration's fields that its
// decoder does not know.
func (c *Catalog) WithUnknownFields(names []string) *Catalog {
	next := *c
	next.unknown = names
	return &next
}

// UnknownFields returns the names of the configuration's fields that its decoder does not know.
func (c *Catalog) UnknownFields() []string { return c.unknown }

// Match returns the host's route with the longest matching path prefix, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Limits returns the size limits of client requests.
func (c *Catalog) Limits() Limits { return c.limits }
