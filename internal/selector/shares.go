package selector

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
)

const (
	// demandTable is the table, with its partition, in which the coordinators of all zones
	// write the demand of their zones while replicas have limits.
	demandTable   = "demand/limits"
	demandPeriod  = time.Second
	demandTimeout = 800 * time.Millisecond
	// demandRetention is how long a zone's demand counts after it was last written.
	demandRetention = 3500 * time.Millisecond
	// absentAfter is how long the exchange must have worked until a zone that has written no
	// demand counts as one without.
	absentAfter = 4 * time.Second
	// equalPart is the part of each limit that is divided equally among the zones. The rest
	// follows the demand. It bounds what is sent while zones know different demands.
	equalPart = 0.5
)

// demandRow is the value of a row: the requests a second that a zone has for a service.
type demandRow struct {
	Service   string  `json:"service"`
	Zone      string  `json:"zone"`
	PerSecond float64 `json:"per-second"`
}

// zoneDemand is the demand of another zone, as last read.
type zoneDemand struct {
	perSecond float64
	version   uint64
	// changedAt is when this daemon first read this version.
	changedAt time.Time
}

// serviceDemand is the demand for one service that this daemon counts as a coordinator, and
// that of the other zones.
type serviceDemand struct {
	counted   int
	perSecond float64
	others    map[string]zoneDemand
}

// shares divides limits among the zones by demand.
type shares struct {
	table storer.Table
	zone  string
	zones int

	mu       sync.Mutex
	services map[string]*serviceDemand
	// since is when the exchange began to work without a failure, zero if the last failed.
	since time.Time
}

func newShares(t storer.Table, zone string, zones int) *shares {
	return &shares{table: t, zone: zone, zones: max(1, zones), services: map[string]*serviceDemand{}}
}

// service returns the demand for a service. The caller holds the lock.
func (s *shares) service(name string) *serviceDemand {
	d := s.services[name]
	if d == nil {
		d = &serviceDemand{others: map[string]zoneDemand{}}
		s.services[name] = d
	}
	return d
}

// count counts a request of the zone.
func (s *shares) count(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(service).counted++
}

// of returns the part of a limit that is the zone's. The parts are equal unless the demand of
// all zones is known. A zone that has written none for a while has none, or does not reach the
// table and takes an equal part.
func (s *shares) of(service string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	equal := 1 / float64(s.zones)
	d := s.services[service]
	if d == nil || d.perSecond == 0 {
		return equal
	}
	sum, known := d.perSecond, 1
	for _, o := range d.others {
		if now.Sub(o.changedAt) < demandRetention {
			sum += o.perSecond
			known++
		}
	}
	if known < s.zones && (s.since.IsZero() || now.Sub(s.since) < absentAfter) {
		return equal
	}
	return equalPart*equal + (1-equalPart)*d.perSecond/sum
}

// tick updates the rates and returns the rows to write. It drops the services that this
// daemon does not lead.
func (s *shares) tick(leads func(service string) bool) []demandRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []demandRow
	for name, d := range s.services {
		if !leads(name) {
			delete(s.services, name)
			continue
		}
		d.perSecond = (d.perSecond + float64(d.counted)/demandPeriod.Seconds()) / 2
		d.counted = 0
		rows = append(rows, demandRow{Service: name, Zone: s.zone, PerSecond: d.perSecond})
	}
	return rows
}

// learn records the rows of all zones.
func (s *shares) learn(rows []storer.Row, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		var v demandRow
		if json.Unmarshal(r.Value, &v) != nil || v.Zone == "" || v.Zone == s.zone || v.PerSecond < 0 {
			continue
		}
		d := s.services[v.Service]
		if d != nil && d.others[v.Zone].version != r.Version {
			d.others[v.Zone] = zoneDemand{perSecond: v.PerSecond, version: r.Version, changedAt: now}
		}
	}
}

// exchange writes the demand that this daemon counts and reads that of the other zones.
func (s *shares) exchange(ctx context.Context, leads func(service string) bool) error {
	rows := s.tick(leads)
	if s.table == nil || len(rows) == 0 {
		return nil
	}
	err := s.exchangeRows(ctx, rows)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = time.Now()
	}
	return err
}

// exchangeRows writes rows and reads those of all zones.
func (s *shares) exchangeRows(ctx context.Context, rows []demandRow) error {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var tx storer.Transaction
	for _, r := range rows {
		value, err := json.Marshal(r)
		if err != nil {
			return err
		}
		tx.Writes = append(tx.Writes, storer.Write{Key: storer.Prefix(demandTable) + r.Service + "." + r.Zone, Value: value})
	}
	if _, err := s.table.Commit(ctx, tx); err != nil {
		return err
	}
	all, err := storer.ScanAll(ctx, s.table, storer.Prefix(demandTable))
	if err != nil {
		return err
	}
	s.learn(all, time.Now())
	return nil
}

// forget drops all demand, when no replica has a limit any more or this daemon is no
// coordinator.
func (s *shares) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.services)
	s.since = time.Time{}
}

// exchangeLoop exchanges the demand of the zones while replicas have limits.
func (s *Selector) exchangeLoop() error {
	failing := false
	for {
		select {
		case <-time.After(demandPeriod):
		case <-s.tomb.Dying():
			return nil
		}
		if s.views.limits.count() == 0 {
			s.shares.forget()
			continue
		}
		err := s.shares.exchange(s.tomb.Context(nil), s.leads)
		if err != nil && !failing {
			// In logs, "seater" is the selector.
			s.logger.Event("seater", "demand not exchanged").Err(err).End()
		}
		failing = err != nil
	}
}
