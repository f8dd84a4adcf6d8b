package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/rationer"
	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	// maxAttempts limits the replicas tried for one request, even if none of them runs it.
	maxAttempts = 5
	// maxBufferedResponse is the size in bytes up to which a non-streaming response is
	// buffered before it is forwarded.
	maxBufferedResponse = 256 << 10
	// copyBufferBytes is the size of the reads of a response that is not buffered.
	copyBufferBytes = freeResponseBytes / 2
	// discardTimeout bounds the read of a response that is not forwarded. The request waits
	// for it before it is sent to another replica.
	discardTimeout = 50 * time.Millisecond
	// noUrgency sends no urgency, so that the replica uses its own default.
	noUrgency = -1
)

// sendWithRetries sends the request to one replica after another until one answers.
// It returns nil if the client has received a complete response.
func (f *Forwarder) sendWithRetries(ctx context.Context, w http.ResponseWriter, j *job) *classifier.Fault {
	startCtx, release := f.endBeforeStart(ctx, j)
	defer release()
	for j.attempts < maxAttempts {
		waitCtx := ctx
		if j.possibleRuns == 0 {
			waitCtx = startCtx
		}
		if fault := f.refuseUntried(ctx, j); fault != nil {
			return fault
		}
		c, err := f.placements.Choose(waitCtx, selector.Request{
			Service: selector.Service{Name: j.service.Name, CacheTokens: j.service.CacheTokens}, Work: j.work, Tried: j.tried, Deadline: j.deadline, Suspicion: f.suspicion(j), Version: j.originVersion,
		})
		var busy *selector.BusyError
		if errors.As(err, &busy) && f.awaitConfirmation(waitCtx, j) {
			continue
		}
		if errors.As(err, &busy) && j.possibleRuns == 0 && !busy.AllAway() {
			return classifier.New(classifier.Overloaded, classifier.RanNo, "service %q: %v", j.service.Name, err).After(withJitter(busy.RetryAfter()))
		}
		if err != nil {
			j.busy = busy
			break
		}
		fault := f.reauthenticate(j)
		if fault == nil {
			fault = f.refuseLateStart(j)
		}
		if fault == nil {
			fault = f.takeCredit(ctx, j)
		}
		if fault != nil {
			c.End(selector.Unknown)
			return fault
		}
		j.attempts++
		j.tried[c.Instance] = true
		res := f.attempt(ctx, w, j, c)
		f.meter.countAttempt(res)
		// The log key desk holds the name of the coordinator that chose the replica.
		line := f.logger.Event("forwarder", "tried").Str("id", j.request.ID).Str("replica", c.Replica.ID).Str("service", j.service.Name).
			Int("candidates", c.Candidates).Int("cached", c.Cached).Int("busy", int(c.Busy)).Int("slowness", int(100*c.Slowness)).
			Dur("age", c.Age).Str("desk", c.CoordinatorName).Float("limit", c.Limit.Rate).Dur("waited", c.Wait).Int("attempt", j.attempts).Str("result", res.String())
		line.Str("replica-version", c.Replica.Version)
		if j.request.Resumes != "" {
			line.Str("resumes", j.request.Resumes).Str("last-event", j.request.LastEventID)
		}
		if j.via != "" {
			line.Str("via", j.via).Str("tunnel", j.tunnel)
		}
		if res == ambiguous || res == truncated {
			line.Str("mark", j.mark.String())
		}
		line.Err(j.cause).End()
		if res.mayHaveRun() {
			j.possibleRuns++
			j.credit = rationer.Credit{}
		}
		switch res {
		case answered:
			return nil
		case truncated:
			return f.fault(j, classifier.TargetBroken)
		case canceled:
			return f.fault(j, classifier.TargetTimeout)
		case ambiguous:
			if !j.route.Repeatable() || j.possibleRuns >= max(1, j.route.MaxRuns) {
				return f.fault(j, classifier.TargetBroken)
			}
		}
		if ctx.Err() != nil {
			return f.fault(j, classifier.TargetTimeout)
		}
	}
	return f.fault(j, classifier.TargetAway)
}

// attempt sends the request to one replica and ends the choice, also if it panics.
func (f *Forwarder) attempt(ctx context.Context, w http.ResponseWriter, j *job, c *selector.Choice) result {
	outcome := selector.Unknown
	defer func() { c.End(outcome) }()
	res := f.sendOnce(ctx, w, j, c)
	f.reportMemory(j, c, res)
	f.recordEvidence(j, c, res)
	outcome = res.outcome()
	return res
}

// fault returns the error for the client: why the request failed and whether it may
// have run.
func (f *Forwarder) fault(j *job, code classifier.Code) *classifier.Fault {
	cause := j.cause
	if cause == nil {
		cause = errors.Errorf("no replica of service %q is available", j.service.Name)
	}
	if j.possibleRuns == 0 {
		if fault := f.refuseWithoutOrigin(j); fault != nil {
			return fault
		}
		if fault := f.refuseWhenStopping(j); fault != nil {
			return fault
		}
		return classifier.New(classifier.TargetAway, classifier.RanNo, "%v", cause).After(f.awayRetryAfter(j))
	}
	if code == classifier.TargetAway {
		code = classifier.TargetBroken
	}
	return classifier.New(code, classifier.RanUnknown, "%v", cause)
}

// sendOnce sends the request to one replica and forwards its response to the client.
func (f *Forwarder) sendOnce(ctx context.Context, w http.ResponseWriter, j *job, c *selector.Choice) result {
	j.cause, j.via, j.tunnel = nil, "", ""
	q := j.request
	meta := RequestMetadata{ReplicaID: c.Replica.ID, Urgency: j.urgency(), HasAccounts: j.hasAccounts, Account: j.account.Name()}
	if q.Timeout > 0 {
		meta.Remaining = time.Until(j.deadline)
		if meta.Remaining <= 0 {
			j.cause = context.DeadlineExceeded
			return unsent
		}
	}
	if j.turn.hasOutput() && !f.responses.takesOutput(c.Instance) {
		j.cause = errors.Wrap(errResponseMemory, "output of a turn")
		return refused
	}
	lease := &responseLease{memory: f.responses, instance: c.Instance}
	defer lease.close()
	body := j.turn.body()
	if body == nil {
		body = [][]byte{q.Body}
	}
	var a ResponseMetadata
	e, err := f.conns.Do(ctx, &connector.Call{
		Instance: c.Instance, Address: c.Replica.Address, ID: q.ID, Method: q.Method, Target: q.Target, Host: q.Host,
		Header: f.codec.EncodeRequest(q, meta), Body: body, Deadline: j.deadline, Limit: f.connectionLimit(j.service), Fresh: !j.route.Repeatable(), Detour: f.detour(c.Replica), Process: f.processOf(j, c), HoldHead: lease.hold,
		Matches: func(r *http.Response) bool {
			a = f.codec.DecodeResponse(r.StatusCode, r.Header)
			if a.Leaving && !a.Misdirected && c.ReportLeaving() {
				f.logger.Event("forwarder", "replica leaving").Str("id", q.ID).Str("replica", c.Replica.ID).Str("instance", c.Instance).Int("status", r.StatusCode).End()
			}
			// A response to an earlier request is right about the end of its replica. A limit
			// may have changed since, and a response that belongs to no request names none.
			own := a.RequestID == q.ID
			if own && !a.Misdirected && c.ReportLimit(a.Limit, a.HasLimit) {
				f.logger.Event("forwarder", "replica limit").Str("id", q.ID).Str("replica", c.Replica.ID).Str("instance", c.Instance).
					Bool("limited", a.HasLimit).Float("rate", a.Limit).Float("before", c.Limit.Rate).End()
			}
			return own
		},
	})
	if err != nil {
		return f.classifyError(ctx, j, err)
	}
	defer e.Close()
	j.via, j.tunnel = e.Via()
	if a.HasLoad {
		c.ReportLoad(a.Load)
	}
	switch {
	case a.Misdirected:
		f.discard(e)
		return misdirected
	case a.NotRun:
		f.discard(e)
		return refused
	case isStream(e.Response) && j.route.Kind == cataloger.Streaming:
		return f.forwardStream(ctx, w, j, c, e, lease)
	}
	return f.forwardBody(ctx, w, j, e, lease)
}

// classifyError returns the result of an exchange that failed with err, and sets j.cause.
func (f *Forwarder) classifyError(ctx context.Context, j *job, err error) result {
	j.cause = err
	if errors.Is(err, connector.ErrConnectionLimit) {
		return refused
	}
	if errors.Is(err, connector.ErrUnidentified) {
		return unidentified
	}
	var e *connector.Error
	if errors.As(err, &e) && !e.Sent {
		return unsent
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		j.cause = errors.Wrap(errStopping, "no response")
		return canceled
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		j.cause = errors.Wrap(err, "request canceled by the client")
		return canceled
	}
	if ctx.Err() != nil || !time.Now().Before(j.deadline) {
		j.cause = errors.Wrap(err, "deadline exceeded")
		return canceled
	}
	return ambiguous
}

// discard drains a response that is not forwarded, so that its connection can be reused.
func (f *Forwarder) discard(e *connector.Exchange) {
	if err := e.Discard(maxBufferedResponse, discardTimeout); err != nil {
		f.logger.Event("forwarder", "refusal broke off").Err(err).End()
	}
}

func isStream(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && connector.IsStream(r)
}
