package forwarder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/granter"
	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/rationer"
	"pimentorail.example/pimentorail/internal/scoper"
	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/internal/supervisor"
	"pimentorail.example/pimentorail/internal/tracker"
	"pimentorail.example/pimentorail/internal/tunneler"
	"pimentorail.example/pimentorail/internal/versioner"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	// defaultTimeout applies if neither the client nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// retryJitter is the largest random extension of a retry delay, as a fraction of it.
	// It prevents refused clients from retrying all at once.
	retryJitter = 0.5
	// connectionShare is the fraction of a replica's connection limit that all daemons
	// together use. The rest is a reserve, because the number of daemons is an estimate.
	connectionShare = 0.75
	minConnections  = 2
)

// Options configures a Forwarder.
type Options struct {
	// StoreTimeout is the timeout of the store's reads and writes before a turn runs.
	StoreTimeout time.Duration
	// RetryAfter is the minimum delay after which a refused client should retry.
	RetryAfter time.Duration
	// OutageRetryAfter replaces RetryAfter while the store is unavailable.
	OutageRetryAfter time.Duration
	// ConfigAge is how long after it was read the configuration counts as the newest.
	ConfigAge time.Duration
	// Daemons returns the estimated number of daemons that share the replicas'
	// connection limits. If it is nil, each replica's full limit applies to this daemon.
	Daemons func() int
	// ResponseBytes limits the memory of the responses in progress; zero for no limit.
	ResponseBytes int64
}

// Dependencies are the components that a Forwarder depends on.
type Dependencies struct {
	Catalog    *cataloger.Keeper
	Placements *selector.Selector
	Programs   *granter.Granter
	Isolator   *isolator.Isolator
	Versions   *versioner.Versioner
	// Limits apply the limits of accounts; nil for none.
	Limits *rationer.Rationer
	// Connector holds the connections to replicas.
	Connector *connector.Connector
	// Tunnels lead to replicas whose links are cut; nil for none.
	Tunnels *tunneler.Tunneler
	// Reports reads the reports of replicas; nil if they have none.
	Reports Reports
	// Registry reads rows of the registry; nil if only the known replicas tell.
	Registry Registry
	Logger   *logger.Logger
	Scope    tally.Scope
	Codec    Codec
}

// Forwarder proxies requests to replicas.
type Forwarder struct {
	options    Options
	catalog    *cataloger.Keeper
	placements *selector.Selector
	programs   *granter.Granter
	isolator   *isolator.Isolator
	versions   *versioner.Versioner
	limits     *rationer.Rationer
	logger     *logger.Logger
	codec      Codec
	conns      *connector.Connector
	tunnels    *tunneler.Tunneler
	meter      *meter
	reports    Reports
	registry   Registry
	doubted    doubted
	responses  *responseMemory
	active     atomic.Int64
	// shutdown is nil unless a planned stop has begun.
	shutdown atomic.Pointer[shutdown]
	stages   stages
}

// New returns a forwarder without connections.
func New(d Dependencies, o Options) *Forwarder {
	return &Forwarder{
		options: o, catalog: d.Catalog, placements: d.Placements, programs: d.Programs, isolator: d.Isolator, versions: d.Versions, limits: d.Limits,
		logger: d.Logger, codec: d.Codec, conns: d.Connector, tunnels: d.Tunnels, reports: d.Reports, registry: d.Registry, meter: newMeter(d.Scope), stages: newStages(),
		responses: newResponseMemory(o.ResponseBytes),
	}
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int { return int(f.active.Load()) }

// ResponseBytes returns the memory of the responses in progress.
func (f *Forwarder) ResponseBytes() int64 { return f.responses.used() }

// Connections returns the counters of the connections to replicas.
func (f *Forwarder) Connections() connector.Counts { return f.conns.Counts() }

// EvictIdle evicts idle connections; call it periodically.
func (f *Forwarder) EvictIdle() {
	f.conns.EvictIdle(time.Now())
}

// Close closes the idle connections.
func (f *Forwarder) Close() { f.conns.Close() }

// Serve proxies one request. If the response fails after a part of it has been sent, Serve
// panics with http.ErrAbortHandler, which closes the client's connection.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, q *Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	j, fault := f.newJob(q)
	if fault != nil {
		f.refuse(w, q, j, fault)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	ctx, release := f.endBeforeDaemon(ctx, j)
	defer release()
	if fault = f.takeCredit(ctx, j); fault != nil {
		f.refuse(w, q, j, fault)
		return
	}
	defer func() { j.credit.GiveBack() }()
	if fault = f.resolveOrigin(ctx, j); fault != nil {
		f.refuse(w, q, j, fault)
		return
	}
	j.turn, fault = f.openTurn(ctx, j)
	if fault != nil {
		f.refuse(w, q, j, fault)
		return
	}
	defer j.turn.close()
	j.openedAfter = time.Since(q.Arrived)
	f.describeWork(j)
	fault = f.send(ctx, w, j)
	f.logResult(j, fault)
	switch {
	case fault == nil:
	case j.responseStarted:
		panic(http.ErrAbortHandler)
	default:
		f.writeFault(w, fault)
	}
}

// send is sendWithRetries with a fault in place of a panic. The request may have run.
func (f *Forwarder) send(ctx context.Context, w http.ResponseWriter, j *job) (fault *classifier.Fault) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if v == http.ErrAbortHandler {
			panic(v)
		}
		j.cause = supervisor.Report("forwarder: request "+j.request.ID, v)
		fault = classifier.New(classifier.TargetBroken, classifier.RanUnknown, "unexpected internal error")
	}()
	return f.sendWithRetries(ctx, w, j)
}

// newJob resolves the request's route, account and service and sets its deadline. With a fault it
// returns what is known of the job, which may be nil.
func (f *Forwarder) newJob(q *Request) (*job, *classifier.Fault) {
	certainty := f.catalog.Certainty(time.Now(), f.options.ConfigAge)
	c := f.catalog.Current()
	if c == nil {
		return nil, classifier.New(classifier.ConfigUnsure, classifier.RanNo, "no configuration has been received yet").After(f.retryAfter())
	}
	r := c.Match(q.Hostname, q.Path)
	if r == nil {
		return nil, classifier.New(classifier.NoSuchRoute, classifier.RanNo, "configuration version %d has no route for host %q and path %q", c.Version(), q.Hostname, q.Path)
	}
	account, fault := f.authenticate(c, r, q.Credential, certainty)
	if fault != nil {
		return nil, fault
	}
	s := c.Service(r.Service(q.ID))
	if s == nil {
		return nil, classifier.New(classifier.TargetAway, classifier.RanNo, "configuration version %d has no service for route %q", c.Version(), r.Name).After(f.retryAfter())
	}
	if fault := f.refuseUnsupported(s); fault != nil {
		return nil, fault
	}
	j := &job{request: q, route: r, service: s, version: c.Version(), tried: map[string]bool{}}
	if c.HasAccounts() {
		j.account, j.hasAccounts = account, true
		j.scope = scoper.Of(j.account.Name())
	}
	j.mark = q.mark(j.caller())
	timeout := defaultTimeout
	if q.Timeout > 0 {
		timeout = q.Timeout
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	j.deadline = q.Arrived.Add(timeout)
	if fault := f.refuseWhenStopping(j); fault != nil {
		return j, fault
	}
	return j, f.refuseCondemned(j)
}

// refuseUnsupported returns a fault for a service whose replicas can't be called.
func (f *Forwarder) refuseUnsupported(s *cataloger.Service) *classifier.Fault {
	if s.Unsupported == "" {
		return nil
	}
	return classifier.New(classifier.TargetAway, classifier.RanNo, "service %q requires %s, which is not supported", s.Name, s.Unsupported).After(f.retryAfter())
}

// describeWork sets the request's estimated work, used to choose a replica.
func (f *Forwarder) describeWork(j *job) {
	q := j.request
	j.work = ranker.Work{
		Parts: q.Parts, Prompt: q.PromptTokens, Output: q.MaxTokens, Model: j.service.Model, Bytes: len(q.Body),
	}
	if q.OutputHint > 0 {
		j.work.Output = min(q.OutputHint, q.MaxTokens)
	}
	for _, b := range j.turn.body() {
		j.work.Bytes += len(b)
	}
}

// connectionLimit returns the number of connections that this daemon may open to one
// replica of the service, zero for no limit.
func (f *Forwarder) connectionLimit(s *cataloger.Service) int {
	if s.Connections == 0 || f.options.Daemons == nil {
		return s.Connections
	}
	return max(minConnections, int(connectionShare*float64(s.Connections))/max(1, f.options.Daemons()))
}

// detour returns how to reach a replica through a peer, or nil.
func (f *Forwarder) detour(r *tracker.Replica) connector.Dialer {
	if f.tunnels == nil {
		return nil
	}
	return func(ctx context.Context) (net.Conn, error) { return f.tunnels.Dial(ctx, r) }
}

// retryAfter returns the time after which a refused client should retry, with jitter.
func (f *Forwarder) retryAfter() time.Duration { return withJitter(f.options.RetryAfter) }

func withJitter(d time.Duration) time.Duration {
	return d + time.Duration(retryJitter*rand.Float64()*float64(d))
}

// Refuse answers a request that was not sent to any replica.
func (f *Forwarder) Refuse(w http.ResponseWriter, q *Request, fault *classifier.Fault) {
	f.refuse(w, q, nil, fault)
}

// refuse is Refuse for a request whose job may be known.
func (f *Forwarder) refuse(w http.ResponseWriter, q *Request, j *job, fault *classifier.Fault) {
	l := f.logger.Event("forwarder", "refused").Str("id", q.ID).Str("program", q.Program).Int("code", int(fault.Code)).
		Str("why", fault.Message).Dur("after", time.Since(q.Arrived)).Uint("version", f.catalog.Current().Version()).Bool("credentials", q.Caller != "")
	if j != nil && j.hasAccounts {
		l.Str("account", j.account.Name()).Int("priority", j.priority())
	}
	l.End()
	f.meter.countFault(fault.Code)
	f.writeFault(w, fault)
}

// writeFault writes a complete response that reports the fault.
func (f *Forwarder) writeFault(w http.ResponseWriter, fault *classifier.Fault) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if after := fault.RetryAfter(); after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	f.closeWhenStopping(h)
	w.WriteHeader(fault.Code.Status())
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(fault)
}

// logResult logs the result of a request and records its metrics.
func (f *Forwarder) logResult(j *job, fault *classifier.Fault) {
	l := f.logger.Event("forwarder", "done").Str("id", j.request.ID).Str("program", j.request.Program).
		Str("route", j.route.Name).Uint("version", j.version).Int("attempts", j.attempts).Int("ran", j.possibleRuns).
		Dur("opened", j.openedAfter).Dur("first", j.firstAfter).Dur("took", time.Since(j.request.Arrived)).Bool("passed", j.responseStarted).
		Bool("credentials", j.request.Caller != "")
	if j.hasAccounts {
		l.Str("account", j.account.Name()).Int("priority", j.priority())
	}
	if j.request.FinishWithin > 0 {
		l.Dur("left", j.request.FinishWithin-time.Since(j.request.Arrived))
	}
	if j.turn != nil {
		l.Int("tokens", j.turn.tokens).Str("parent", j.request.Parent).Int("history", j.turn.historyLength()).Str("home", j.turn.grant.Coordinator())
	}
	if fault != nil {
		l.Int("code", int(fault.Code)).Str("why", fault.Message)
		f.meter.countFault(fault.Code)
	}
	l.End()
	f.meter.recordLatencies(j.route.Kind, j.firstAfter, time.Since(j.request.Arrived))
}
