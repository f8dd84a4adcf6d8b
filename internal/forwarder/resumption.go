package forwarder

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/internal/versioner"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// resumes reports whether the request resumes a stream. The request alone tells: a daemon whose
// configuration is older than the stream may know its route as one that resumes none.
func (j *job) resumes() bool {
	q := j.request
	return q.Resumes != "" || j.route.Kind == cataloger.Streaming && q.LastEventID != ""
}

// eventOrder returns the order of the events that the client is to receive.
func (j *job) eventOrder() eventOrder {
	if !j.resumes() {
		return eventOrder{}
	}
	return newEventOrder(j.request.LastEventID)
}

// stream returns the stream that a request of the same caller began.
func (j *job) stream(requestID string) versioner.Stream {
	return versioner.Stream{Caller: j.caller(), Hostname: j.request.Hostname, RequestID: requestID}
}

// resolveOrigin restricts a request that resumes a stream to the service and the version at
// which the stream began. It returns a fault if these are unknown or serve no longer.
func (f *Forwarder) resolveOrigin(ctx context.Context, j *job) *classifier.Fault {
	if !j.resumes() {
		return nil
	}
	findCtx, cancel := context.WithTimeout(ctx, f.options.StoreTimeout)
	defer cancel()
	o, found, err := f.versions.Find(findCtx, j.stream(j.request.Resumes))
	if err != nil {
		return classifier.New(classifier.StoreAway, classifier.RanNo, "find where the stream began: %v", err).After(withJitter(f.options.OutageRetryAfter))
	}
	fault := f.restrictToOrigin(ctx, j, o, found)
	f.meter.countResumption(fault == nil)
	return fault
}

func (f *Forwarder) restrictToOrigin(ctx context.Context, j *job, o versioner.Recorded, found bool) *classifier.Fault {
	if !found {
		return classifier.New(classifier.CannotResume, classifier.RanNo, "it is not recorded where the stream of request %q began", j.request.Resumes)
	}
	s := f.catalog.Current().Service(o.Service)
	if s == nil || !j.route.LeadsTo(o.Service) {
		return classifier.New(classifier.CannotResume, classifier.RanNo, "the stream of request %q began at service %q, to which route %q does not lead now", j.request.Resumes, o.Service, j.route.Name)
	}
	if fault := f.refuseUnsupported(s); fault != nil {
		return fault
	}
	if fault := f.settleOrigin(ctx, j, s, o); fault != nil {
		return fault
	}
	j.service, j.originVersion, j.recordVersion = s, o.Version, o.StoreVersion
	return f.awaitOrigin(ctx, j)
}

// lacksOrigin reports whether other replicas of the service are known, but none of the version
// at which the stream began.
func (f *Forwarder) lacksOrigin(j *job) bool {
	s, v := j.service.Name, j.originVersion
	return v != "" && !f.placements.Serves(s, v) && f.placements.Serves(s, "")
}

// awaitOrigin returns a fault if no replica of the version at which the stream began is known.
// If the registry was last read before the stream began, such replicas may have joined since.
// The request waits for the next read then, and its client comes back if there is none in time.
func (f *Forwarder) awaitOrigin(ctx context.Context, j *job) *classifier.Fault {
	if !f.lacksOrigin(j) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, resumptionWait)
	defer cancel()
	if f.placements.AwaitCovered(ctx, j.recordVersion, j.request.Arrived) || !f.lacksOrigin(j) {
		return f.refuseWithoutOrigin(j)
	}
	return classifier.New(classifier.StoreAway, classifier.RanNo, "the replicas of service %q have not been read since the stream of request %q began at version %q", j.service.Name, j.request.Resumes, j.originVersion).After(withJitter(f.options.OutageRetryAfter))
}

// refuseWithoutOrigin returns a fault if no replica of the version at which the stream began
// is left. The client is not asked to come back, since that version does not.
func (f *Forwarder) refuseWithoutOrigin(j *job) *classifier.Fault {
	s, v := j.service.Name, j.originVersion
	if !f.lacksOrigin(j) || !f.placements.Covers(j.recordVersion, j.request.Arrived) {
		return nil
	}
	return classifier.New(classifier.CannotResume, classifier.RanNo, "no replica of service %q has version %q, at which the stream of request %q began", s, v, j.request.Resumes)
}

// recordOrigin records where a stream begins, before its first event is forwarded. The row of its
// replica may be that of an earlier process than the one that sent the event on a connection
// opened at a time, so that the record says what shows that it is not.
func (f *Forwarder) recordOrigin(j *job, c *selector.Choice, opened time.Time) {
	r := c.Replica
	if !j.route.Resumable || j.resumes() || r.Version == "" {
		return
	}
	e := evidence(c, opened)
	if e == versioner.Doubtful {
		f.doubted.add(c.Instance)
	}
	f.versions.Record(j.stream(j.request.ID), versioner.Origin{
		Service: r.Service, Version: r.Version, Replica: r.ID, StartedMS: r.StartedMS, BeganMS: time.Now().UnixMilli(), Evidence: e,
	})
}

// evidence returns what is known about the process that a connection leads to, which was opened at a
// time.
func evidence(c *selector.Choice, opened time.Time) versioner.Evidence {
	switch {
	case c.Outlived(opened):
		return versioner.Certain
	case c.Owns(opened):
		return versioner.Proven
	case c.Confirmed():
		return versioner.Unproven
	}
	return versioner.Doubtful
}
