package forwarder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/placer"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/seater"
	"pimentorail.example/pimentorail/internal/steward"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	// defaultPatience bounds requests whose client and route name no end.
	defaultPatience = 30 * time.Second
	// spread widens the time to come back by up to this part, so that refused
	// clients don't return together.
	spread = 0.5
	// connectionShare is the part of a replica's connections that all daemons
	// together use, since their number is an estimate.
	connectionShare = 0.75
	minConnections  = 2
)

// Options are the settings of a Forwarder.
type Options struct {
	// StorePatience bounds the reads and writes before a turn runs.
	StorePatience time.Duration
	// ComeBack is when a refused client should come back, at least.
	ComeBack time.Duration
	// OutageComeBack is the same while the store is away.
	OutageComeBack time.Duration
	// Daemons estimates how many daemons share the replicas' connections; nil is one.
	Daemons func() int
}

// Parts are what a Forwarder works with.
type Parts struct {
	Catalog  *cataloger.Keeper
	Seats    *seater.Seater
	Programs *steward.Steward
	Recorder *recorder.Recorder
	Scope    tally.Scope
	Wire     Wire
}

// Forwarder serves requests.
type Forwarder struct {
	options  Options
	catalog  *cataloger.Keeper
	seats    *seater.Seater
	programs *steward.Steward
	recorder *recorder.Recorder
	wire     Wire
	conns    *connector.Connector
	meter    *meter
	active   atomic.Int64
}

// New returns a forwarder.
func New(p Parts, o Options) *Forwarder {
	return &Forwarder{
		options: o, catalog: p.Catalog, seats: p.Seats, programs: p.Programs,
		recorder: p.Recorder, wire: p.Wire, conns: connector.New(), meter: newMeter(p.Scope),
	}
}

// Active returns the number of requests under way.
func (f *Forwarder) Active() int { return int(f.active.Load()) }

// Connections returns what the connector did so far.
func (f *Forwarder) Connections() connector.Counts { return f.conns.Counts() }

// Trim frees what is no longer needed; call it now and then.
func (f *Forwarder) Trim() {
	f.conns.Trim(time.Now())
}

// Close drops idle connections.
func (f *Forwarder) Close() { f.conns.Close() }

// job is one request under way.
type job struct {
	request *Request
	route   *cataloger.Route
	service *cataloger.Service
	version uint64
	turn    *turn
	// deadline is when the client or the route stops waiting.
	deadline time.Time
	work     placer.Work
	tried    map[string]bool
	// ran counts the replicas that may have run the request.
	ran      int
	attempts int
	// passed says that a part of the answer went to the client.
	passed bool
	// opened and first are when the turn was opened and its first event came, since
	// the request's arrival.
	opened, first time.Duration
	cause         error
}

// Serve carries one request. An answer that broke off panics with
// http.ErrAbortHandler, which closes the client's connection.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, q *Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	j, fault := f.open(q)
	if fault != nil {
		f.Refuse(w, q, fault)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.turn, fault = f.prepare(ctx, j)
	if fault != nil {
		f.Refuse(w, q, fault)
		return
	}
	defer j.turn.finish()
	j.opened = time.Since(q.Arrived)
	f.plan(j)
	fault = f.attempt(ctx, w, j)
	f.log(j, fault)
	switch {
	case fault == nil:
	case j.passed:
		panic(http.ErrAbortHandler)
	default:
		f.answer(w, fault)
	}
}

// open finds the route of a request and its deadline.
func (f *Forwarder) open(q *Request) (*job, *classifier.Fault) {
	c := f.catalog.Current()
	if c == nil {
		return nil, classifier.New(classifier.ConfigUnsure, classifier.RanNo, "no configuration is known yet").After(f.comeBack())
	}
	r := c.Match(q.Name, q.Path)
	if r == nil {
		return nil, classifier.New(classifier.NoSuchRoute, classifier.RanNo, "version %d has no route for host %q and path %q", c.Version(), q.Name, q.Path)
	}
	s := c.Service(r.Service(q.ID))
	if s == nil {
		return nil, classifier.New(classifier.TargetAway, classifier.RanNo, "version %d names no service for route %q", c.Version(), r.Name).After(f.comeBack())
	}
	j := &job{request: q, route: r, service: s, version: c.Version(), tried: map[string]bool{}}
	wait := defaultPatience
	if q.Patience > 0 {
		wait = q.Patience
	}
	if r.Timeout > 0 {
		wait = min(wait, r.Timeout)
	}
	j.deadline = q.Arrived.Add(wait)
	return j, nil
}

// plan works out what the request asks of a replica.
func (f *Forwarder) plan(j *job) {
	q := j.request
	j.work = placer.Work{
		Parts: q.Parts, Prompt: q.PromptTokens, Output: q.MaxTokens, Model: j.service.Model, Bytes: len(q.Body),
	}
	if q.Hint > 0 {
		j.work.Output = min(q.Hint, q.MaxTokens)
	}
	for _, b := range j.turn.body() {
		j.work.Bytes += len(b)
	}
}

// connections returns how many connections this daemon may have to a replica.
func (f *Forwarder) connections(s *cataloger.Service) int {
	if s.Connections == 0 || f.options.Daemons == nil {
		return s.Connections
	}
	return max(minConnections, int(connectionShare*float64(s.Connections))/max(1, f.options.Daemons()))
}

// comeBack returns a time to come back, spread over clients.
func (f *Forwarder) comeBack() time.Duration { return spreadOver(f.options.ComeBack) }

func spreadOver(d time.Duration) time.Duration {
	return d + time.Duration(spread*rand.Float64()*float64(d))
}

// Refuse answers a request that was not placed.
func (f *Forwarder) Refuse(w http.ResponseWriter, q *Request, fault *classifier.Fault) {
	f.recorder.Event("forwarder", "refused").Str("id", q.ID).Str("program", q.Program).Int("code", int(fault.Code)).
		Str("why", fault.Message).Dur("after", time.Since(q.Arrived)).Uint("version", f.catalog.Current().Version()).End()
	f.meter.refused(fault.Code)
	f.answer(w, fault)
}

// answer writes a fault as the whole answer.
func (f *Forwarder) answer(w http.ResponseWriter, fault *classifier.Fault) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if after := fault.RetryAfter(); after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(fault.Code.Status())
	// The client may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(fault)
}

// log writes the outcome of a request that was placed.
func (f *Forwarder) log(j *job, fault *classifier.Fault) {
	l := f.recorder.Event("forwarder", "done").Str("id", j.request.ID).Str("program", j.request.Program).
		Str("route", j.route.Name).Uint("version", j.version).Int("attempts", j.attempts).Int("ran", j.ran).
		Dur("opened", j.opened).Dur("first", j.first).Dur("took", time.Since(j.request.Arrived)).Bool("passed", j.passed)
	if j.request.Finish > 0 {
		l.Dur("left", j.request.Finish-time.Since(j.request.Arrived))
	}
	if j.turn != nil {
		l.Int("tokens", j.turn.tokens).Str("parent", j.request.Parent).Int("history", j.turn.length()).Str("home", j.turn.grant.Home())
	}
	if fault != nil {
		l.Int("code", int(fault.Code)).Str("why", fault.Message)
		f.meter.refused(fault.Code)
	}
	l.End()
	f.meter.done(j.route.Kind, j.first, time.Since(j.request.Arrived))
}
