package seater

import (
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/placer"
)

const (
	// ServiceName is the name under which peers call a Desk.
	ServiceName  = "Desk"
	placeMethod  = ServiceName + ".Place"
	reportMethod = ServiceName + ".Report"
)

// PlaceRequest asks for a replica.
type PlaceRequest struct {
	// ID names the request at the desk; the asking daemon chooses it.
	ID      string
	Service Service
	Work    placer.Work
	Tried   []string
	// Lasts is the time until the request ends at the latest.
	Lasts time.Duration
}

// PlaceReply answers a PlaceRequest.
type PlaceReply struct {
	Found bool
	// Closed means that the daemon is about to stop.
	Closed bool
	Seat   Seat
}

// Report says what became of a request.
type Report struct {
	ID      string
	Load    placer.Load
	Loaded  bool
	Ended   bool
	Outcome Outcome
}

// ReportRequest carries reports in order.
type ReportRequest struct{ Reports []Report }

// ReportReply answers a ReportRequest.
type ReportReply struct{}

// Desk seats requests for peers.
type Desk struct{ seater *Seater }

// Desk returns what peers call.
func (s *Seater) Desk() *Desk { return &Desk{seater: s} }

// Place chooses a replica and counts the request there.
func (d *Desk) Place(q PlaceRequest, r *PlaceReply) error {
	s := d.seater
	if s.leaving.Load() {
		r.Closed = true
		return nil
	}
	tried := make(map[string]bool, len(q.Tried))
	for _, instance := range q.Tried {
		tried[instance] = true
	}
	seat, replica := s.views.choose(q.Service, q.Work, tried)
	if r.Seat, r.Found = seat, replica != nil; r.Found {
		s.seated.Add(1)
		s.taken.add(q.ID, r.Seat.Instance, time.Now().Add(q.Lasts+lateMargin))
	}
	return nil
}

// Report notes what became of requests.
func (d *Desk) Report(q ReportRequest, _ *ReportReply) error {
	s := d.seater
	for _, p := range q.Reports {
		instance, ok := s.taken.find(p.ID, p.Ended)
		if !ok {
			continue
		}
		if p.Loaded {
			s.views.told(instance, p.Load)
		}
		if p.Ended {
			s.views.end(instance, p.Outcome)
		}
	}
	return nil
}

// taken are the seats of other daemons' requests.
type taken struct {
	mu    sync.Mutex
	seats map[string]seated
}

// seated is the replica of one request.
type seated struct {
	instance string
	until    time.Time
}

func (t *taken) add(id, instance string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seats == nil {
		t.seats = map[string]seated{}
	}
	t.seats[id] = seated{instance, until}
}

// find returns where a request is seated, and frees the seat if it has ended.
func (t *taken) find(id string, ended bool) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.seats[id]
	if ended {
		delete(t.seats, id)
	}
	return s.instance, ok
}

// expire frees and returns the seats whose time is over.
func (t *taken) expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var over []string
	for id, s := range t.seats {
		if now.After(s.until) {
			over = append(over, s.instance)
			delete(t.seats, id)
		}
	}
	return over
}
