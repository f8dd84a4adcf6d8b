package leaser

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
)

// Observation watches member rows from outside, as an operator's command does.
type Observation struct {
	table storer.Table
	seen  map[string]sighting
}

// NewObservation returns an observation of a table.
func NewObservation(t storer.Table) *Observation {
	return &Observation{table: t, seen: map[string]sighting{}}
}

// Members returns the members whose rows exist; the last of a dead daemon stays for a while.
func (o *Observation) Members(ctx context.Context) ([]Member, error) {
	rows, err := storer.All(ctx, o.table, memberPrefix)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	members := make([]Member, 0, len(rows))
	for _, r := range rows {
		m, err := ParseMember(r.Value)
		if err != nil {
			continue
		}
		if old, ok := o.seen[m.Session]; !ok || old.version != r.Version {
			o.seen[m.Session] = sighting{member: m, version: r.Version, at: now}
		}
		if now.Sub(o.seen[m.Session].at) < defaultLifetime {
			members = append(members, m)
		}
	}
	return members, nil
}

// Lagging returns the addresses of live members that do not report a version yet, and the number of live members.
func (o *Observation) Lagging(ctx context.Context, version uint64) ([]string, int, error) {
	members, err := o.Members(ctx)
	var lagging []string
	for _, m := range members {
		if m.Config < version {
			lagging = append(lagging, m.Address)
		}
	}
	return lagging, len(members), err
}
