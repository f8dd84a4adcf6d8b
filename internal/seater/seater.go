package seater

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/placer"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// deskPatience is how long the desk may take. It works from memory, so a few
	// round trips of the zone are enough.
	deskPatience = 30 * time.Millisecond
	// trimPeriod is the time between two looks for what can be forgotten.
	trimPeriod = time.Second
	// lateMargin is how long after its request's end a seat is given free.
	lateMargin = 2 * time.Second
)

// Options are the settings of a Seater.
type Options struct {
	Zone string
	// Node names this VM, and Name this process and none before or after it.
	Node, Name string
}

// Seater chooses replicas for one daemon.
type Seater struct {
	options  Options
	views    *views
	peers    assigner.Peers
	desks    *assigner.Assigner
	recorder *recorder.Recorder
	taken    taken
	reports  *reports
	leaving  atomic.Bool
	number   atomic.Int64
	tomb     *tomb.Tomb

	asked, missed, seated atomic.Int64
}

// Start returns a seater that works until the context ends; peers may be nil.
func Start(ctx context.Context, t *tracker.Tracker, peers assigner.Peers, r *recorder.Recorder, o Options) *Seater {
	s := &Seater{options: o, views: newViews(t, o.Zone), peers: peers, desks: assigner.New(o.Node, peers), recorder: r}
	s.tomb, _ = tomb.WithContext(ctx)
	s.reports = &reports{seater: s, queue: make(chan addressed, maxReports)}
	s.tomb.Go(s.run)
	s.tomb.Go(s.reports.run)
	return s
}

// Counts returns the requests for which a desk was asked, those of them that were
// seated here after all, and the requests seated for other daemons.
func (s *Seater) Counts() (asked, missed, seated int64) {
	return s.asked.Load(), s.missed.Load(), s.seated.Load()
}

// Leave ends the work for other daemons, for a planned stop.
func (s *Seater) Leave() { s.leaving.Store(true) }

// run forgets what is no longer needed.
func (s *Seater) run() error {
	for {
		select {
		case <-time.After(trimPeriod):
			s.views.trim()
			for _, instance := range s.taken.expire(time.Now()) {
				s.views.end(instance, Unknown)
			}
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// Request is a request that looks for a replica.
type Request struct {
	Service Service
	Work    placer.Work
	// Tried are the instances that are left out.
	Tried map[string]bool
	// Deadline is when the request ends at the latest.
	Deadline time.Time
}

// Choice is a replica that was chosen; End must be called.
type Choice struct {
	Seat
	Replica *tracker.Replica
	// Desk names the daemon that chose, nothing if it is this one.
	Desk string

	seater *Seater
	desk   assigner.Peer
	id     string
}

// Choose takes the best replica that was not tried.
func (s *Seater) Choose(ctx context.Context, q Request) (*Choice, bool) {
	if desk, ok := s.desks.Of(q.Service.Name); ok {
		s.asked.Add(1)
		if c := s.ask(ctx, desk, q); c != nil {
			return c, true
		}
		s.missed.Add(1)
	}
	seat, replica := s.views.choose(q.Service, q.Work, q.Tried)
	if replica == nil {
		return nil, false
	}
	return &Choice{Seat: seat, Replica: replica, seater: s}, true
}

// ask lets the desk choose; it returns nil if the choice is to be made here.
func (s *Seater) ask(ctx context.Context, desk assigner.Peer, q Request) *Choice {
	p := PlaceRequest{
		ID: s.options.Name + "." + strconv.FormatInt(s.number.Add(1), 10), Service: q.Service, Work: q.Work, Lasts: time.Until(q.Deadline),
	}
	for instance := range q.Tried {
		p.Tried = append(p.Tried, instance)
	}
	short, cancel := context.WithTimeout(ctx, deskPatience)
	defer cancel()
	var r PlaceReply
	err := s.peers.Call(short, desk.Address, placeMethod, p, &r)
	if err != nil || !r.Found {
		if (err != nil || r.Closed) && s.desks.Failed(desk.Address) {
			s.recorder.Event("seater", "desk left").Str("desk", desk.Name).Str("service", q.Service.Name).Err(err).End()
		}
		s.reports.add(desk, Report{ID: p.ID, Ended: true, Outcome: Unknown})
		return nil
	}
	s.desks.Answered(desk.Address)
	c := &Choice{Seat: r.Seat, Desk: desk.Name, seater: s, desk: desk, id: p.ID}
	if c.Replica = s.views.take(q.Service, q.Work, r.Seat.Instance); c.Replica == nil {
		// The desk knows a replica that is not known here, or no longer.
		s.reports.add(desk, Report{ID: p.ID, Ended: true, Outcome: Unknown})
		return nil
	}
	return c
}

// Told notes the replica's load report.
func (c *Choice) Told(l placer.Load) {
	c.seater.views.told(c.Instance, l)
	if c.id != "" {
		c.seater.reports.add(c.desk, Report{ID: c.id, Load: l, Loaded: true})
	}
}

// End notes the end of the request.
func (c *Choice) End(how Outcome) {
	c.seater.views.end(c.Instance, how)
	if c.id != "" {
		c.seater.reports.add(c.desk, Report{ID: c.id, Ended: true, Outcome: how})
	}
}
