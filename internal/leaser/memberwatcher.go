package leaser

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
)

// MemberWatcher tracks member rows for a process that is not a member itself, such as an
// operator's command.
type MemberWatcher struct {
	table    storer.Table
	observed map[string]observedMember
}

// NewMemberWatcher returns a MemberWatcher of a table.
func NewMemberWatcher(t storer.Table) *MemberWatcher {
	return &MemberWatcher{table: t, observed: map[string]observedMember{}}
}

// Members returns the members whose row has changed within the default lifetime of a
// lease. A dead daemon is returned until then.
func (o *MemberWatcher) Members(ctx context.Context) ([]Member, error) {
	rows, err := storer.ScanAll(ctx, o.table, memberPrefix)
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
		if known, ok := o.observed[m.Session]; !ok || known.version != r.Version {
			o.observed[m.Session] = observedMember{member: m, version: r.Version, changedAt: now}
		}
		if now.Sub(o.observed[m.Session].changedAt) < defaultLifetime {
			members = append(members, m)
		}
	}
	return members, nil
}

// Lagging returns the addresses of the members whose lease has not expired, including
// leaving ones, and whose configuration is older than a version. It also returns the number
// of all members whose lease has not expired.
func (o *MemberWatcher) Lagging(ctx context.Context, version uint64) ([]string, int, error) {
	members, err := o.Members(ctx)
	var lagging []string
	for _, m := range members {
		if m.Config < version {
			lagging = append(lagging, m.Address)
		}
	}
	return lagging, len(members), err
}
