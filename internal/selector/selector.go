package selector

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// coordinatorTimeout bounds a call to the coordinator. The coordinator answers from
	// memory, so a few network round trips within the zone are enough.
	coordinatorTimeout = 30 * time.Millisecond
	// evictPeriod is the interval between evictions of idle views and expired placements.
	evictPeriod = time.Second
	// expiryMargin is how long after its request's deadline a placement expires.
	expiryMargin = 2 * time.Second
)

// Options are the settings of a Selector.
type Options struct {
	Zone string
	// VM is the name of this VM, which stays the same across restarts of the daemon. Name
	// identifies this process; each start has a new one.
	VM, Name string
}

// Selector chooses replicas for one daemon.
type Selector struct {
	options        Options
	views          *views
	peers          assigner.Peers
	coordinators   *assigner.Assigner
	logger         *logger.Logger
	peerPlacements peerPlacements
	reporter       *reporter
	leaving        atomic.Bool
	lastID         atomic.Int64
	tomb           *tomb.Tomb

	asked, fellBack, placedForPeers atomic.Int64
}

// Start returns a selector that runs until the context ends; peers may be nil.
func Start(ctx context.Context, t *tracker.Tracker, peers assigner.Peers, r *logger.Logger, o Options) *Selector {
	s := &Selector{options: o, views: newViews(t, o.Zone), peers: peers, coordinators: assigner.New(o.VM, peers), logger: r}
	s.tomb, _ = tomb.WithContext(ctx)
	s.reporter = &reporter{selector: s, queue: make(chan addressedReport, maxReports)}
	s.tomb.Go(s.run)
	s.tomb.Go(s.reporter.run)
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
			for _, instance := range s.peerPlacements.expire(time.Now()) {
				s.views.end(instance, Unknown)
			}
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// Request is a request that needs a replica.
type Request struct {
	Service Service
	Work    ranker.Work
	// Tried are the instances that are excluded.
	Tried map[string]bool
	// Deadline is the latest end of the request.
	Deadline time.Time
}

// Choice is a chosen replica. The caller must call End when the request is over.
type Choice struct {
	Placement
	Replica *tracker.Replica
	// CoordinatorName is the name of the coordinator that chose, empty if this daemon chose itself.
	CoordinatorName string

	selector    *Selector
	coordinator assigner.Peer
	id          string
	chosenAt    time.Time
}

// Choose chooses the best replica that was not tried, at the service's coordinator or,
// failing that, by this daemon's own estimates. It returns false if there is none.
func (s *Selector) Choose(ctx context.Context, q Request) (*Choice, bool) {
	if coordinator, ok := s.coordinators.Of(q.Service.Name); ok {
		s.asked.Add(1)
		if c := s.askCoordinator(ctx, coordinator, q); c != nil {
			return c, true
		}
		s.fellBack.Add(1)
	}
	placement, replica := s.views.choose(q.Service, q.Work, q.Tried)
	if replica == nil {
		return nil, false
	}
	return &Choice{Placement: placement, Replica: replica, selector: s, chosenAt: time.Now()}, true
}

// askCoordinator lets the coordinator choose. It returns nil if this daemon has to
// choose itself.
func (s *Selector) askCoordinator(ctx context.Context, coordinator assigner.Peer, q Request) *Choice {
	p := PlaceRequest{
		ID: s.options.Name + "." + strconv.FormatInt(s.lastID.Add(1), 10), Service: q.Service, Work: q.Work, Lasts: time.Until(q.Deadline),
	}
	for instance := range q.Tried {
		p.Tried = append(p.Tried, instance)
	}
	callCtx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	var r PlaceReply
	err := s.peers.Call(callCtx, coordinator.Address, placeMethod, p, &r)
	if err != nil || !r.Found {
		if (err != nil || r.Closed) && s.coordinators.Failed(coordinator.Address) {
			// In logs, "seater" is the selector and "desk" the coordinator. The event is
			// logged at the first failure since the coordinator last answered.
			s.logger.Event("seater", "desk left").Str("desk", coordinator.Name).Str("service", q.Service.Name).Err(err).End()
		}
		s.reporter.enqueue(coordinator, Report{ID: p.ID, Ended: true, Outcome: Unknown})
		return nil
	}
	s.coordinators.Answered(coordinator.Address)
	c := &Choice{Placement: r.Seat, CoordinatorName: coordinator.Name, selector: s, coordinator: coordinator, id: p.ID, chosenAt: time.Now()}
	if c.Replica = s.views.begin(q.Service, q.Work, r.Seat.Instance); c.Replica == nil {
		// The replica is usable at the coordinator, but not yet or no longer here.
		s.reporter.enqueue(coordinator, Report{ID: p.ID, Ended: true, Outcome: Unknown, Leaving: s.views.tracker.IsLeaving(r.Seat.Instance)})
		return nil
	}
	return c
}

// ReportLoad records a load report of the replica, and sends it to the coordinator if
// that chose the replica.
func (c *Choice) ReportLoad(l ranker.Load) {
	c.selector.views.reportLoad(c.Instance, l)
	if c.id != "" {
		c.selector.reporter.enqueue(c.coordinator, Report{ID: c.id, Load: l, Loaded: true})
	}
}

// ReportLimit records the limit that the replica named in its response, in requests a
// second and zero for none, and reports it to the coordinator if that chose the replica. It
// returns true if this daemon knew another limit or none.
func (c *Choice) ReportLimit(rate float64) bool {
	limits := &c.selector.views.limits
	now := time.Now()
	if rate == 0 && c.Limit.Rate == 0 && limits.of(c.Instance, now).Rate == 0 {
		return false
	}
	if c.id != "" {
		c.selector.reporter.enqueue(c.coordinator, Report{ID: c.id, Limit: rate, Limited: true})
	}
	return limits.report(c.Instance, rate, c.chosenAt, now)
}

// ReportLeaving records that the replica announced its end, and reports it to the
// coordinator if that chose the replica. It returns true for the first announcement.
func (c *Choice) ReportLeaving() bool {
	first := c.selector.views.tracker.Leave(c.Instance, time.Now())
	if c.id != "" {
		c.selector.reporter.enqueue(c.coordinator, Report{ID: c.id, Leaving: true})
	}
	return first
}

// End records the end of the request, and reports it to the coordinator if that chose
// the replica.
func (c *Choice) End(outcome Outcome) {
	c.selector.views.end(c.Instance, outcome)
	if c.id != "" {
		c.selector.reporter.enqueue(c.coordinator, Report{ID: c.id, Ended: true, Outcome: outcome})
	}
}
