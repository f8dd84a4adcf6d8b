package forwarder

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/seater"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	// maxPlaces bounds the replicas that are asked when all refuse.
	maxPlaces = 5
	// maxPlain bounds an answer that is read whole before it is passed on, in bytes.
	maxPlain = 256 << 10
	// noUrgency leaves the order at the replica to the replica.
	noUrgency = -1
)

// attempt sends the request to one replica after another until one answers.
// A nil fault means that an answer went to the client whole.
func (f *Forwarder) attempt(ctx context.Context, w http.ResponseWriter, j *job) *classifier.Fault {
	for j.attempts < maxPlaces {
		c, ok := f.seats.Choose(ctx, seater.Request{
			Service: seater.Service{Name: j.service.Name, CacheTokens: j.service.CacheTokens}, Work: j.work, Tried: j.tried, Deadline: j.deadline,
		})
		if !ok {
			break
		}
		j.attempts++
		j.tried[c.Instance] = true
		how := f.try(ctx, w, j, c)
		c.End(how.outcome())
		f.meter.attempt(how)
		f.recorder.Event("forwarder", "tried").Str("id", j.request.ID).Str("replica", c.Replica.ID).Str("service", j.service.Name).
			Int("candidates", c.Candidates).Int("cached", c.Cached).Int("busy", int(c.Busy)).Int("slowness", int(100*c.Slowness)).
			Dur("age", c.Age).Str("desk", c.Desk).Int("attempt", j.attempts).Str("result", how.String()).Err(j.cause).End()
		if how.ran() {
			j.ran++
		}
		switch how {
		case answered:
			return nil
		case cut:
			return f.fault(j, classifier.TargetBroken)
		case left:
			return f.fault(j, classifier.TargetTimeout)
		case broken:
			if !j.route.Repeatable() || j.ran >= max(1, j.route.Attempts) {
				return f.fault(j, classifier.TargetBroken)
			}
		}
		if ctx.Err() != nil {
			return f.fault(j, classifier.TargetTimeout)
		}
	}
	return f.fault(j, classifier.TargetAway)
}

// fault says why a request failed and whether it can have run.
func (f *Forwarder) fault(j *job, code classifier.Code) *classifier.Fault {
	cause := j.cause
	if cause == nil {
		cause = errors.Errorf("no replica of service %q is free", j.service.Name)
	}
	if j.ran == 0 {
		return classifier.New(classifier.TargetAway, classifier.RanNo, "%v", cause).After(f.comeBack())
	}
	if code == classifier.TargetAway {
		code = classifier.TargetBroken
	}
	return classifier.New(code, classifier.RanUnknown, "%v", cause)
}

// try sends the request to one replica and passes its answer on.
func (f *Forwarder) try(ctx context.Context, w http.ResponseWriter, j *job, c *seater.Choice) result {
	j.cause = nil
	q := j.request
	order := Order{Replica: c.Replica.ID, Urgency: noUrgency}
	if q.Patience > 0 {
		order.Left = time.Until(j.deadline)
		if order.Left <= 0 {
			j.cause = context.DeadlineExceeded
			return unsent
		}
	}
	body := j.turn.body()
	if body == nil {
		body = [][]byte{q.Body}
	}
	var a Answer
	e, err := f.conns.Do(ctx, &connector.Call{
		Instance: c.Instance, Address: c.Replica.Address, Method: q.Method, Target: q.Target, Host: q.Host,
		Header: f.wire.Outgoing(q, order), Body: body, Deadline: j.deadline, Limit: f.connections(j.service), Fresh: !j.route.Repeatable(),
		Mine: func(r *http.Response) bool {
			a = f.wire.Incoming(r.StatusCode, r.Header)
			return a.Request == q.ID
		},
	})
	if err != nil {
		return f.failed(ctx, j, err)
	}
	defer e.Close()
	if a.Loaded {
		c.Told(a.Load)
	}
	switch {
	case a.Elsewhere:
		f.discard(e)
		return elsewhere
	case a.NotRun:
		f.discard(e)
		return refused
	case isStream(e.Response) && j.route.Kind == cataloger.Streaming:
		return f.stream(ctx, w, j, e)
	}
	return f.plain(ctx, w, j, e)
}

// failed classifies an exchange without an answer.
func (f *Forwarder) failed(ctx context.Context, j *job, err error) result {
	j.cause = err
	if errors.Is(err, connector.ErrFull) {
		return refused
	}
	var e *connector.Error
	if errors.As(err, &e) && !e.Sent {
		return unsent
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		j.cause = errors.Wrap(err, "the client left")
		return left
	}
	if ctx.Err() != nil || !time.Now().Before(j.deadline) {
		j.cause = errors.Wrap(err, "the time is over")
		return left
	}
	return broken
}

// discard reads the rest of an answer that is not passed on, so that its connection can be kept.
func (f *Forwarder) discard(e *connector.Exchange) {
	if _, err := io.Copy(io.Discard, io.LimitReader(e, maxPlain)); err != nil {
		f.recorder.Event("forwarder", "refusal broke off").Err(err).End()
	}
}

func isStream(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
}

// plain passes an answer on whole. A short answer is read before its first byte
// is passed on, so that a broken one can still be repeated.
func (f *Forwarder) plain(ctx context.Context, w http.ResponseWriter, j *job, e *connector.Exchange) result {
	body, err := io.ReadAll(io.LimitReader(e, maxPlain+1))
	if err != nil {
		return f.failed(ctx, j, errors.Wrap(err, "read body"))
	}
	j.first = time.Since(j.request.Arrived)
	f.begin(w, j, e.Response)
	if _, err := w.Write(body); err != nil {
		j.cause = errors.Wrap(err, "client")
		return left
	}
	if len(body) <= maxPlain {
		return answered
	}
	if _, err := io.Copy(w, e); err != nil {
		j.cause = errors.Wrap(err, "pass on body")
		return cut
	}
	return answered
}

// begin writes the head of a replica's answer.
func (f *Forwarder) begin(w http.ResponseWriter, j *job, r *http.Response) {
	h := w.Header()
	for name, values := range f.wire.Reply(r.Header) {
		h[name] = values
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	j.passed = true
	w.WriteHeader(r.StatusCode)
}

// stream passes events on as they come and holds the end back until the turn is kept.
func (f *Forwarder) stream(ctx context.Context, w http.ResponseWriter, j *job, e *connector.Exchange) result {
	// The end is shown by the encoding, so a length must not announce it.
	e.Response.Header.Del("Content-Length")
	flusher := http.NewResponseController(w)
	s := newEvents(e)
	for {
		ev, err := s.next()
		if err == io.EOF {
			break
		}
		if err != nil {
			how := f.failed(ctx, j, errors.Wrap(err, "read stream"))
			if how == broken && j.passed {
				how = cut
			}
			return how
		}
		if !j.passed {
			j.first = time.Since(j.request.Arrived)
			f.begin(w, j, e.Response)
		}
		j.turn.took(ev, j.service.EventTokens)
		if _, err = w.Write(ev.raw); err == nil {
			err = flusher.Flush()
		}
		if err != nil {
			j.cause = errors.Wrap(err, "client")
			return left
		}
	}
	if !j.passed {
		f.begin(w, j, e.Response)
	}
	if err := f.record(ctx, j.turn); err != nil {
		j.cause = errors.Wrap(err, "keep turn")
		return cut
	}
	return answered
}
