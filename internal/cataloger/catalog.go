package cataloger

import (
	"cmp"
	"slices"
	"strings"
)

// Catalog is one version of all routes and services.
type Catalog struct {
	version  uint64
	hosts    map[string][]*Route
	services map[string]*Service
	limits   Limits
}

// New returns a catalog of a version.
func New(version uint64, routes []*Route, services []*Service, limits Limits) *Catalog {
	c := &Catalog{version: version, hosts: map[string][]*Route{}, services: map[string]*Service{}, limits: limits}
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Version returns the version, zero for no catalog.
func (c *Catalog) Version() uint64 {
	if c == nil {
		return 0
	}
	return c.version
}

// Match returns the route of a host with the longest prefix of the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Limits returns the bounds on what clients send.
func (c *Catalog) Limits() Limits { return c.limits }
