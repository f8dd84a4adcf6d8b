package forwarder

import (
	"context"
	"net/http"
	"time"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/tracker"
)

// inquiryTimeout bounds the question which process a replica is.
const inquiryTimeout = 400 * time.Millisecond

// inquiry is the question which process a replica is. It implements connector.Process for the process
// of the replica's row.
type inquiry struct {
	forwarder *Forwarder
	replica   *tracker.Replica
	// askedAt is when the question was begun. A process that answers it lived then.
	askedAt time.Time
	// startedMS is the start time that the replica named, in Unix milliseconds.
	startedMS int64
}

func (f *Forwarder) newInquiry(r *tracker.Replica) *inquiry {
	return &inquiry{forwarder: f, replica: r, askedAt: time.Now()}
}

// ask asks the replica. The process is unknown if it names no start. An error means that it can't
// be asked.
func (q *inquiry) ask(ctx context.Context, f *Forwarder, s *cataloger.Service) (connector.Identity, error) {
	if q.ReportTarget() == "" {
		return connector.UnknownProcess, nil
	}
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	return f.conns.Identify(ctx, &connector.Call{
		Instance: q.replica.Instance(), Address: q.replica.Address, Deadline: time.Now().Add(inquiryTimeout), Limit: f.connectionLimit(s), Fresh: true,
		Detour: f.detour(q.replica), Process: q,
	})
}

// Owns implements connector.Process. Any connection to the address may be asked.
func (q *inquiry) Owns(time.Time) bool { return false }

// ReportTarget implements connector.Process.
func (q *inquiry) ReportTarget() string {
	if q.forwarder.reports == nil || q.replica.StartedMS == 0 {
		return ""
	}
	return q.forwarder.reports.Target()
}

// IsReport implements connector.Process. The request for a report has no id.
func (q *inquiry) IsReport(r *http.Response) bool {
	return q.forwarder.codec.DecodeResponse(r.StatusCode, r.Header).RequestID == ""
}

// Identify implements connector.Process.
func (q *inquiry) Identify(report []byte, _ time.Time) connector.Identity {
	started, named := q.forwarder.reports.StartedMS(report)
	switch {
	case !named:
		return connector.UnknownProcess
	case started != q.replica.StartedMS:
		q.startedMS = started
		return connector.OtherProcess
	}
	q.forwarder.placements.Identified(q.replica, q.askedAt)
	return connector.SameProcess
}

// Await implements connector.Process. Nothing waits for an answer of another kind.
func (q *inquiry) Await(context.Context, time.Time) bool { return false }
