package forwarder

import (
	"context"
	"net/http"
	"time"

	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// resumptionWait is how long a request that resumes a stream waits for a read of the
	// registry if the replica does not tell its start time itself. The registry is read
	// every 0.7 s, and a read proves a connection that was opened 0.3 s before.
	resumptionWait = 1200 * time.Millisecond
)

// Reports reads the reports in which replicas tell their own state.
type Reports interface {
	// Target is the request target of a report.
	Target() string
	// StartedMS returns the start time that a report names, in Unix milliseconds, and false if
	// it names none.
	StartedMS(report []byte) (int64, bool)
}

// Registry reads single rows of the registry of replicas.
type Registry interface {
	// Read returns the replica that the row of an id describes now, nil if there is no row. An error
	// is that of the store or of an invalid row.
	Read(ctx context.Context, id string) (*tracker.Replica, error)
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
