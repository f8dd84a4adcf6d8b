package forwarder

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/tracker"
	"pimentorail.example/pimentorail/internal/versioner"
	"pimentorail.example/pimentorail/pkg/classifier"
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
		found.Covered = f.placements.AwaitCovered(waitCtx, 0, j.request.Arrived.Add(tracker.RowDelay))
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
