package forwarder

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/tracker"
	"pimentorail.example/pimentorail/internal/versioner"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	// rowDelay is how long after it begins to listen a replica may take to write its first row.
	rowDelay = 300 * time.Millisecond
	// inquiryTimeout bounds the question which process a replica is.
	inquiryTimeout = 400 * time.Millisecond
	// verifyAfter is how long a seen end may be confirmed or refuted by the registry alone.
	verifyAfter = 700 * time.Millisecond
	// maxDoubted bounds the instances that wait for a question.
	maxDoubted = 10_000
)

// settleOrigin returns a fault if it can't be shown that a stream began at the version of its
// record. It asks the replica at which the stream began, and waits for a read of the registry if
// the replica doesn't answer.
func (f *Forwarder) settleOrigin(ctx context.Context, j *job, s *cataloger.Service, o versioner.Recorded) *classifier.Fault {
	started := time.Now()
	var found versioner.Finding
	verdict := o.Settle(found)
	if o.Evidence != versioner.Certain && o.Replica != "" {
		found = f.inquire(ctx, j, s, o)
		verdict = o.Settle(found)
	}
	if verdict == versioner.Open {
		waitCtx, cancel := context.WithTimeout(ctx, resumptionWait)
		found.Covered = f.placements.AwaitCovered(waitCtx, 0, j.request.Arrived.Add(rowDelay))
		cancel()
		found.Replaced = found.Covered && !f.describes(f.placements.Replica(o.Replica), o)
		verdict = o.Settle(found)
	}
	f.logger.Event("forwarder", "origin").Str("id", j.request.ID).Str("resumes", j.request.Resumes).Str("replica", o.Replica).Str("replica-version", o.Version).
		Str("evidence", string(o.Evidence)).Bool("alive", found.Alive).Bool("replaced", found.Replaced).Bool("covered", found.Covered).
		Bool("settled", verdict == versioner.Settled).Dur("took", time.Since(started)).End()
	f.meter.countOrigin(o.Evidence, verdict == versioner.Settled)
	switch verdict {
	case versioner.Settled:
		return nil
	case versioner.Open:
		return classifier.New(classifier.StoreAway, classifier.RanNo, "replica %q, at which the stream of request %q began, doesn't answer, and the registry has not been read since", o.Replica, j.request.Resumes).After(withJitter(f.options.OutageRetryAfter))
	}
	return classifier.New(classifier.CannotResume, classifier.RanNo, "another process of replica %q than the one that is recorded may have begun the stream of request %q", o.Replica, j.request.Resumes)
}

// describes reports whether a replica's row is that of the process at which a stream is recorded to
// have begun. A replica without a row has no other one.
func (f *Forwarder) describes(r *tracker.Replica, o versioner.Recorded) bool {
	return r == nil || r.StartedMS == o.StartedMS && r.Version == o.Version && r.Service == o.Service
}

// inquire finds out what is at the replica at which a stream is recorded to have begun.
func (f *Forwarder) inquire(ctx context.Context, j *job, s *cataloger.Service, o versioner.Recorded) versioner.Finding {
	r := f.placements.Replica(o.Replica)
	if r != nil && r.StartedMS < o.StartedMS {
		r = f.awaitRow(ctx, j, o)
	}
	switch {
	case r == nil || r.StartedMS < o.StartedMS:
		return versioner.Finding{}
	case !f.describes(r, o):
		return versioner.Finding{Replaced: true, StartedMS: r.StartedMS}
	case f.placements.AliveSince(r, o.StoreVersion):
		return versioner.Finding{Alive: true}
	}
	q := f.newInquiry(r)
	identity, err := q.ask(ctx, f, s)
	if errors.Is(err, syscall.ECONNREFUSED) && o.Evidence != versioner.Proven {
		return f.readRow(ctx, o)
	}
	return versioner.Finding{Alive: identity == connector.SameProcess, Replaced: identity == connector.OtherProcess, StartedMS: q.startedMS}
}

// awaitRow waits until the known replicas are as new as a record, and returns the replica at which
// the stream began. The row that this daemon knew is that of an earlier process.
func (f *Forwarder) awaitRow(ctx context.Context, j *job, o versioner.Recorded) *tracker.Replica {
	ctx, cancel := context.WithTimeout(ctx, resumptionWait)
	defer cancel()
	f.placements.AwaitCovered(ctx, o.StoreVersion, j.request.Arrived)
	return f.placements.Replica(o.Replica)
}

// readRow reads the row of a replica that has ended. A later process that has ended as well, and
// may have begun the stream, has written its row.
func (f *Forwarder) readRow(ctx context.Context, o versioner.Recorded) versioner.Finding {
	if f.registry == nil {
		return versioner.Finding{}
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.StoreTimeout)
	defer cancel()
	r, err := f.registry.Read(ctx, o.Replica)
	switch {
	case err != nil:
		return versioner.Finding{}
	case !f.describes(r, o):
		return versioner.Finding{Replaced: true, StartedMS: r.StartedMS}
	}
	return versioner.Finding{Covered: true}
}

// VerifyEnds asks the replicas whose process was seen to end, at which streams began since, and that
// have not been confirmed for a while, which process they are; call it periodically. A connection
// that breaks off is rarely the end of its process, and the replica's next row may look unchanged.
func (f *Forwarder) VerifyEnds(ctx context.Context) {
	c := f.catalog.Current()
	if c == nil {
		return
	}
	for _, r := range f.placements.EndedBefore(time.Now().Add(-verifyAfter)) {
		if s := c.Service(r.Service); s != nil && f.doubted.take(r.Instance()) {
			_, _ = f.newInquiry(r).ask(ctx, f, s) // Without an answer the end stays likely.
		}
	}
}

// doubted are the instances at which streams began after their end was seen.
type doubted struct {
	mu        sync.Mutex
	instances map[string]bool
}

// add adds an instance.
func (d *doubted) add(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instances == nil || len(d.instances) >= maxDoubted {
		d.instances = map[string]bool{}
	}
	d.instances[instance] = true
}

// take removes an instance, and reports whether it was there.
func (d *doubted) take(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := d.instances[instance]
	delete(d.instances, instance)
	return found
}

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
