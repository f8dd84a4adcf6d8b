package forwarder

import (
	"context"
	"net/http"
	"time"

	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/internal/supervisor"
	"pimentorail.example/pimentorail/internal/versioner"
)

const (
	// resumptionWait is how long a request that resumes a stream waits for a read of the
	// registry if the replica does not tell its start time itself. The registry is read
	// every 0.7 s, and a read proves a connection that was opened 0.3 s before.
	resumptionWait = 1200 * time.Millisecond
	// originWait is how long the record of a stream waits for the same. It is longer, since a
	// replica whose end was seen in error writes its next row after 1.2 s.
	originWait = 4 * time.Second
	// maxAwaitedOrigins bounds the records that wait.
	maxAwaitedOrigins = 1024
)

// Reports reads the reports in which replicas tell their own state.
type Reports interface {
	// Target is the request target of a report.
	Target() string
	// StartedMS returns the start time that a report names, in Unix milliseconds, and false if
	// it names none.
	StartedMS(report []byte) (int64, bool)
}

// process implements connector.Process for the instance of a choice.
type process struct {
	choice  *selector.Choice
	reports Reports
	codec   Codec
}

// processOf returns the process that must run a request, or nil if any may: only a stream that
// is resumed must not go on at the next process at its replica's address.
func (f *Forwarder) processOf(j *job, c *selector.Choice) connector.Process {
	if j.originVersion == "" {
		return nil
	}
	return &process{choice: c, reports: f.reports, codec: f.codec}
}

// Owns implements connector.Process. Few streams are resumed, so that asking the replica is
// preferred to what the registry makes likely.
func (p *process) Owns(opened time.Time) bool { return p.choice.Outlived(opened) }

// ReportTarget implements connector.Process.
func (p *process) ReportTarget() string {
	if p.reports == nil || p.choice.Replica.StartedMS == 0 {
		return ""
	}
	return p.reports.Target()
}

// IsReport implements connector.Process. The request for a report has no id.
func (p *process) IsReport(r *http.Response) bool {
	return p.codec.DecodeResponse(r.StatusCode, r.Header).RequestID == ""
}

// Identify implements connector.Process.
func (p *process) Identify(report []byte, opened time.Time) connector.Identity {
	started, named := p.reports.StartedMS(report)
	switch {
	case !named:
		return connector.UnknownProcess
	case started != p.choice.Replica.StartedMS:
		return connector.OtherProcess
	}
	p.choice.Identified(opened)
	return connector.SameProcess
}

// Await implements connector.Process.
func (p *process) Await(ctx context.Context, opened time.Time) bool {
	if !p.choice.Confirmed() {
		return p.choice.Owns(opened)
	}
	ctx, cancel := context.WithTimeout(ctx, resumptionWait)
	defer cancel()
	return p.choice.AwaitOwned(ctx, opened)
}

// awaitedOrigin is the record of where a stream began that waits until it is known to which
// process the connection leads on which the stream's first event came.
type awaitedOrigin struct {
	forwarder *Forwarder
	choice    *selector.Choice
	opened    time.Time
	stream    versioner.Stream
	origin    versioner.Origin
}

// run records the origin if that gets known in time. Without a record the stream is not
// resumed.
func (o *awaitedOrigin) run() {
	f := o.forwarder
	defer f.awaitedOrigins.Add(-1)
	defer supervisor.Recover("forwarder: record of a stream")
	ctx, cancel := context.WithTimeout(context.Background(), originWait)
	defer cancel()
	began, confirmed := time.Now(), o.choice.Confirmed()
	owned := o.choice.AwaitOwned(ctx, o.opened)
	if owned {
		f.versions.Record(o.stream, o.origin)
	}
	f.logger.Event("forwarder", "record of a stream").Str("id", o.stream.RequestID).Str("replica", o.choice.Replica.ID).
		Dur("connected", began.Sub(o.opened)).Bool("confirmed", confirmed).Dur("waited", time.Since(began)).Bool("proven", owned).End()
}
