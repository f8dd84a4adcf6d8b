package selector

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/ranker"
)

const (
	// ServiceName is the RPC service name under which peers call a Coordinator.
	ServiceName  = "Desk"
	placeMethod  = ServiceName + ".Place"
	reportMethod = ServiceName + ".Report"
)

// PlaceRequest asks the coordinator to place a request on a replica.
type PlaceRequest struct {
	// ID identifies the request at the coordinator; the calling daemon chooses it.
	ID      string
	Service Service
	Work    ranker.Work
	Tried   []string
	// Lasts is the time until the request's deadline.
	Lasts time.Duration
	// Limits are limits by instance that the coordinator did not know of.
	Limits map[string]Limit
	// Suspicion is what is known against the request.
	Suspicion Suspicion
	// Missed is the address of the coordinator in whose place this one is asked, empty for
	// none.
	Missed string
	// Version excludes the replicas whose software has another version, unless it is empty.
	Version string
}

// demand returns what the request asks of the replicas.
func (q *PlaceRequest) demand() demand {
	tried := make(map[string]bool, len(q.Tried))
	for _, instance := range q.Tried {
		tried[instance] = true
	}
	return demand{service: q.Service, work: q.Work, tried: tried, remaining: q.Lasts, suspicion: q.Suspicion, version: q.Version}
}

// PlaceReply answers a PlaceRequest.
type PlaceReply struct {
	Found bool
	// Closed means that the daemon is about to stop and places no requests for peers.
	Closed bool
	Seat   Placement
	// Busy means that no replica takes the request before RetryAfter, because of Reason.
	Busy       bool
	RetryAfter time.Duration
	Reason     string
}

// Report carries a replica's load, the end of a request, or both.
type Report struct {
	ID   string
	Load ranker.Load
	// Loaded is set if Load holds a load report.
	Loaded bool
	// Ended is set if the request has ended with Outcome.
	Ended   bool
	Outcome Outcome
	// Leaving is set if the replica announced its end.
	Leaving bool
	// Limited is set if Limit is the limit that the replica named, zero for none.
	Limited bool
	Limit   float64
	// ProcessEnded is set if the replica's process was seen to end.
	ProcessEnded bool
}

// ReportRequest carries reports in the order in which they were made.
type ReportRequest struct{ Reports []Report }

// ReportReply answers a ReportRequest.
type ReportReply struct{}

// Coordinator places requests for peers.
type Coordinator struct{ selector *Selector }

// Coordinator returns the RPC service that peers call.
func (s *Selector) Coordinator() *Coordinator { return &Coordinator{selector: s} }

// Place chooses a replica and counts the request as in flight there. A daemon that stands in
// for a coordinator which only some daemons miss counts on its own share of a limit.
func (c *Coordinator) Place(q PlaceRequest, r *PlaceReply) error {
	s := c.selector
	if s.leaving.Load() {
		r.Closed = true
		return nil
	}
	s.askedAt.Store(time.Now().UnixNano())
	if q.Missed != "" && s.coordinators.FailedForPeer(q.Missed) {
		// An empty report shows whether this daemon reaches it.
		s.reporter.enqueue(assigner.Peer{Address: q.Missed}, Report{})
	}
	for instance, limit := range q.Limits {
		s.views.limits.learn(instance, limit, time.Now())
	}
	d, _ := s.confirmed(q.demand())
	placement, replica, err := s.views.choose(d, s.scope(q.Service.Name))
	var busy *BusyError
	if errors.As(err, &busy) && !busy.AllAway() {
		r.Busy, r.RetryAfter, r.Reason = true, busy.after, busy.reason
	}
	if r.Seat, r.Found = placement, replica != nil; r.Found {
		s.placedForPeers.Add(1)
		now := time.Now()
		s.peerPlacements.add(q.ID, peerPlacement{instance: r.Seat.Instance, suspicion: q.Suspicion, at: now, until: now.Add(q.Lasts + expiryMargin)})
	}
	return nil
}

// Report records the loads and ends in the reports. It ignores reports on requests that
// have no placement here.
func (c *Coordinator) Report(q ReportRequest, _ *ReportReply) error {
	s := c.selector
	for _, p := range q.Reports {
		placed, ok := s.peerPlacements.find(p.ID, p.Ended)
		if !ok {
			continue
		}
		instance := placed.instance
		if p.Leaving && s.views.tracker.Leave(instance, time.Now()) {
			// In logs, "seater" is the selector.
			s.logger.Event("seater", "replica leaving").Str("instance", instance).Str("placement", p.ID).End()
		}
		if p.Limited && s.views.limits.report(instance, p.Limit, placed.at, time.Now()) {
			s.logger.Event("seater", "replica limit").Str("instance", instance).Str("placement", p.ID).Float("rate", p.Limit).End()
		}
		if p.Loaded {
			s.views.reportLoad(instance, p.Load)
		}
		if p.ProcessEnded && s.views.tracker.SawEnd(instance, time.Now()) {
			s.logger.Event("seater", "replica ended").Str("instance", instance).Str("placement", p.ID).End()
		}
		if p.Ended {
			s.views.end(instance, placed.suspicion, p.Outcome, placed.at)
		}
	}
	return nil
}

// peerPlacements holds the placements of other daemons' requests by request ID.
type peerPlacements struct {
	mu         sync.Mutex
	placements map[string]peerPlacement
}

// peerPlacement is the replica of one request, the time at which the request was placed and
// the time at which the placement expires.
type peerPlacement struct {
	instance  string
	suspicion Suspicion
	at, until time.Time
}

func (t *peerPlacements) add(id string, p peerPlacement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.placements == nil {
		t.placements = map[string]peerPlacement{}
	}
	t.placements[id] = p
}

// find returns the placement of a request, and releases it if the request has ended.
func (t *peerPlacements) find(id string, ended bool) (peerPlacement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.placements[id]
	if ended {
		delete(t.placements, id)
	}
	return p, ok
}

// expire releases the placements that are past their expiry, and returns them.
func (t *peerPlacements) expire(now time.Time) []peerPlacement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []peerPlacement
	for id, p := range t.placements {
		if now.After(p.until) {
			expired = append(expired, p)
			delete(t.placements, id)
		}
	}
	return expired
}
