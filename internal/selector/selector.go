package selector

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// coordinatorTimeout bounds a call to the coordinator. The coordinator answers from
	// memory, so a few network round trips within the zone are enough.
	coordinatorTimeout = 30 * time.Millisecond
	// evictPeriod is the interval between evictions of idle views and expired placements.
	evictPeriod = time.Second
	// isolatedAfter is how long no peer must have asked a daemon until it counts as isolated.
	isolatedAfter = 3 * time.Second
	// standInShare is the part of a limit that daemons without a coordinator may use together,
	// beside coordinators that they do not reach.
	standInShare = 0.5
	// maxCoordinators bounds the coordinators that are asked for one request.
	maxCoordinators = 2
	// expiryMargin is how long after its request's deadline a placement expires.
	expiryMargin = 2 * time.Second
)

// Options are the settings of a Selector.
type Options struct {
	Zone string
	// VM is the name of this VM, which stays the same across restarts of the daemon. Name
	// identifies this process; each start has a new one.
	VM, Name string
	// Zones is the number of availability zones, and Daemons returns the estimated number of
	// daemons in all of them. They share the limits that replicas name. Daemons may be nil.
	Zones   int
	Daemons func() int
	// Table is where the coordinators of the zones exchange their demand while replicas have
	// limits. Without it the zones have equal parts of a limit.
	Table storer.Table
}

// Selector chooses replicas for one daemon.
type Selector struct {
	options        Options
	views          *views
	shares         *shares
	peers          assigner.Peers
	coordinators   *assigner.Assigner
	logger         *logger.Logger
	peerPlacements peerPlacements
	reporter       *reporter
	leaving        atomic.Bool
	lastID         atomic.Int64
	// askedAt is when a peer last asked this daemon, in Unix nanoseconds.
	askedAt atomic.Int64
	tomb    *tomb.Tomb

	asked, fellBack, placedForPeers atomic.Int64
}

// Start returns a selector that runs until the context ends; peers may be nil.
func Start(ctx context.Context, t *tracker.Tracker, peers assigner.Peers, r *logger.Logger, o Options) *Selector {
	s := &Selector{options: o, peers: peers, coordinators: assigner.New(o.VM, peers), logger: r}
	s.shares = newShares(o.Table, o.Zone, o.Zones)
	s.views = newViews(t, o.Zone, newLimits(s.shareOfLimits))
	s.tomb, _ = tomb.WithContext(ctx)
	s.reporter = &reporter{selector: s, queue: make(chan addressedReport, maxReports)}
	s.tomb.Go(supervisor.Loop(s.tomb, "selector: eviction", s.run))
	s.tomb.Go(supervisor.Loop(s.tomb, "selector: exchange of demand", s.exchangeLoop))
	s.tomb.Go(supervisor.Loop(s.tomb, "selector: reports", s.reporter.run))
	return s
}

// Counts returns the number of requests for which a coordinator was asked, the number of
// those that fell back to this daemon's own choice, and the number of requests placed
// for other daemons.
func (s *Selector) Counts() (asked, fellBack, placed int64) {
	return s.asked.Load(), s.fellBack.Load(), s.placedForPeers.Load()
}

// LimitedReplicas returns the number of replicas that are known to have a limit.
func (s *Selector) LimitedReplicas() int { return s.views.limits.count() }

// Leave stops placing requests for other daemons, before a planned stop.
func (s *Selector) Leave() { s.leaving.Store(true) }

// run periodically evicts idle views and expired placements.
func (s *Selector) run() error {
	for {
		select {
		case <-time.After(evictPeriod):
			s.views.evictIdle()
			for _, p := range s.peerPlacements.expire(time.Now()) {
				s.views.end(p.instance, p.suspicion, Unknown, p.at)
			}
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// Serves reports whether a service has a usable replica of a version, or of any version if
// that is empty.
func (s *Selector) Serves(service, version string) bool {
	return slices.ContainsFunc(s.views.tracker.Usable(service), func(r *tracker.Replica) bool { return version == "" || r.Version == version })
}

// Covers reports whether the known replicas are those of a version of the registry's store or a
// later one, or were read at a time or later.
func (s *Selector) Covers(version uint64, since time.Time) bool {
	return s.views.tracker.Covers(version, since)
}

// AwaitCovered waits until Covers is true or the context ends, and returns Covers.
func (s *Selector) AwaitCovered(ctx context.Context, version uint64, since time.Time) bool {
	return s.views.tracker.AwaitCovered(ctx, version, since)
}

// Replica returns the known replica with an id, or nil.
func (s *Selector) Replica(id string) *tracker.Replica { return s.views.tracker.Find(id) }

// AliveSince reports whether the process of a replica's row wrote a row after a version of the
// registry's store.
func (s *Selector) AliveSince(r *tracker.Replica, version uint64) bool {
	return s.views.tracker.AliveSince(r, version)
}

// Identified records that the process of a replica's row lived at a time.
func (s *Selector) Identified(r *tracker.Replica, at time.Time) { s.views.tracker.Identified(r, at) }

// EndedBefore returns the replicas whose process was seen to end, for the last time before a time,
// and that are not confirmed since.
func (s *Selector) EndedBefore(now time.Time) []*tracker.Replica {
	return s.views.tracker.EndedBefore(now)
}

// Request is a request that needs a replica.
type Request struct {
	Service Service
	Work    ranker.Work
	// Tried are the instances that are excluded.
	Tried map[string]bool
	// Deadline is the latest end of the request.
	Deadline time.Time
	// Suspicion is what is known against the request.
	Suspicion Suspicion
	// Version excludes the replicas whose software has another version, unless it is empty.
	Version string
}

// demand returns what the request asks of the replicas.
func (q *Request) demand() demand {
	return demand{service: q.Service, work: q.Work, tried: q.Tried, remaining: time.Until(q.Deadline), suspicion: q.Suspicion, version: q.Version}
}

// Choose chooses the best replica that was not tried, at the service's coordinator or,
// failing that, by this daemon's own estimates. It returns once the request may be sent,
// or ErrNoReplica, a BusyError or the error of the context.
func (s *Selector) Choose(ctx context.Context, q Request) (*Choice, error) {
	for {
		c, err := s.choose(ctx, q)
		if err != nil || c.Wait == 0 {
			return c, err
		}
		select {
		case <-time.After(c.Wait):
			if c.chosenAt = time.Now(); !c.IsEnding() {
				return c, nil
			}
			c.End(Unknown) // It announced its end meanwhile, so it is not chosen again.
		case <-ctx.Done():
			c.End(Unknown)
			return nil, ctx.Err()
		}
	}
}

// choose is Choose without the wait.
func (s *Selector) choose(ctx context.Context, q Request) (*Choice, error) {
	d, excluded := s.confirmed(q.demand())
	for range maxCoordinators {
		coordinator, ok := s.coordinators.Of(q.Service.Name)
		if !ok {
			break
		}
		s.asked.Add(1)
		c, err := s.askCoordinator(ctx, coordinator, q, d.tried)
		if c != nil || err != nil {
			return c, err
		}
		s.fellBack.Add(1)
		if s.views.limits.count() == 0 {
			break
		}
	}
	placement, replica, err := s.views.choose(d, s.scope(q.Service.Name))
	if errors.Is(err, ErrNoReplica) && excluded {
		// A replica whose end was seen in error can tell so itself.
		placement, replica, err = s.views.choose(q.demand(), s.scope(q.Service.Name))
	}
	if err != nil {
		return nil, err
	}
	return &Choice{Placement: placement, Replica: replica, selector: s, chosenAt: time.Now(), suspicion: q.Suspicion}, nil
}

// confirmed excludes the instances whose process was seen to end if the request must go to a
// version, and reports whether it excluded any. The next process may have another version.
func (s *Selector) confirmed(d demand) (demand, bool) {
	if d.version == "" {
		return d, false
	}
	list := s.views.tracker.Unconfirmed(d.service.Name)
	if len(list) == 0 {
		return d, false
	}
	tried := make(map[string]bool, len(d.tried)+len(list))
	maps.Copy(tried, d.tried)
	for _, instance := range list {
		tried[instance] = true
	}
	d.tried = tried
	return d, true
}

// scope returns whose requests this daemon counts against the limits of a service: those of
// the zone if it is the coordinator and the other daemons reach it.
func (s *Selector) scope(service string) scope {
	if !s.leads(service) {
		return daemonScope
	}
	if s.views.limits.count() > 0 {
		s.shares.count(service)
	}
	return zoneScope
}

// leads reports whether this daemon counts the requests of its zone to a service.
func (s *Selector) leads(service string) bool {
	return s.coordinators.Leads(service) && !s.isIsolated()
}

// isIsolated reports whether no peer has asked this daemon for a while though there are
// peers, which may then have another coordinator.
func (s *Selector) isIsolated() bool {
	return s.peers != nil && len(s.peers.Others()) > 0 && time.Since(time.Unix(0, s.askedAt.Load())) > isolatedAfter
}

// shareOfLimits returns the part of the limit of a service's replica that is a scope's to use.
func (s *Selector) shareOfLimits(of scope, service string) float64 {
	if of == zoneScope || s.options.Daemons == nil {
		return s.shares.of(service, time.Now())
	}
	return standInShare / float64(max(1, s.options.Daemons()))
}

// askCoordinator lets the coordinator choose among the instances that were not tried. It
// returns nil if another coordinator or this daemon has to choose, and a BusyError if the
// coordinator has no room at any replica.
func (s *Selector) askCoordinator(ctx context.Context, coordinator assigner.Peer, q Request, tried map[string]bool) (*Choice, error) {
	p := PlaceRequest{Service: q.Service, Work: q.Work, Lasts: time.Until(q.Deadline), Suspicion: q.Suspicion, Version: q.Version}
	if s.views.limits.count() > 0 {
		p.Missed = s.coordinators.Passed(q.Service.Name)
	}
	for instance := range tried {
		p.Tried = append(p.Tried, instance)
	}
	c, err := s.place(ctx, coordinator, p)
	if c == nil || err != nil || c.Limit.Rate > 0 || s.views.limits.of(c.Instance, time.Now()).Rate == 0 {
		return c, err
	}
	// The coordinator does not know of the replica's limit.
	c.End(Unknown)
	p.Limits = s.views.namedLimits(q.Service.Name)
	return s.place(ctx, coordinator, p)
}

// place sends a request to the coordinator. It returns nil if another coordinator or this
// daemon has to choose.
func (s *Selector) place(ctx context.Context, coordinator assigner.Peer, p PlaceRequest) (*Choice, error) {
	p.ID = s.options.Name + "." + strconv.FormatInt(s.lastID.Add(1), 10)
	callCtx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	var r PlaceReply
	err := s.peers.Call(callCtx, coordinator.Address, placeMethod, p, &r)
	if r.Busy && err == nil {
		s.coordinators.Answered(coordinator.Address)
		return nil, &BusyError{reason: r.Reason, after: r.RetryAfter}
	}
	if err != nil || !r.Found {
		if (err != nil || r.Closed) && s.coordinators.Failed(coordinator.Address) {
			// In logs, "seater" is the selector and "desk" the coordinator. The event is
			// logged at the first failure since the coordinator last answered.
			s.logger.Event("seater", "desk left").Str("desk", coordinator.Name).Str("service", p.Service.Name).Err(err).End()
		}
		s.reporter.enqueue(coordinator, Report{ID: p.ID, Ended: true, Outcome: Unknown})
		return nil, nil
	}
	s.coordinators.Answered(coordinator.Address)
	c := &Choice{Placement: r.Seat, CoordinatorName: coordinator.Name, selector: s, coordinator: coordinator, id: p.ID, chosenAt: time.Now(), suspicion: p.Suspicion}
	if r.Seat.Limit.Rate > 0 {
		s.views.limits.learn(r.Seat.Instance, r.Seat.Limit, time.Now())
	}
	if c.Replica = s.views.begin(p.demand(), r.Seat.Instance); c.Replica == nil {
		// The replica is usable at the coordinator, but not yet or no longer here, or the
		// coordinator is an older daemon that does not know of versions.
		s.reporter.enqueue(coordinator, Report{ID: p.ID, Ended: true, Outcome: Unknown, Leaving: s.views.tracker.IsLeaving(r.Seat.Instance)})
		return nil, nil
	}
	return c, nil
}
