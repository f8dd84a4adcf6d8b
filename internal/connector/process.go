package connector

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// identifyTimeout bounds the request for a replica's report. A sound replica may stand
	// still for a second.
	identifyTimeout = 1500 * time.Millisecond
	// maxReportBytes bounds the body of a report.
	maxReportBytes = 64 << 10
)

// ErrOtherProcess is returned if another process than that of the call's instance listens at
// the address.
var ErrOtherProcess = errors.New("connector: another process listens at the replica's address")

// ErrUnidentified is returned if it is not known to which process a connection leads, for a
// call that needs a certain one.
var ErrUnidentified = errors.New("connector: it is not known which process listens at the replica's address")

// Identity is what a replica's report tells of its process.
type Identity int

// The identities of a process.
const (
	// UnknownProcess means that the report does not tell.
	UnknownProcess Identity = iota
	// SameProcess and OtherProcess mean that it is that of the call's instance, or not.
	SameProcess
	OtherProcess
)

// Process tells to which process a connection leads, for calls that only one process may run.
type Process interface {
	// Owns reports whether a connection that was opened at a time leads to the process.
	Owns(opened time.Time) bool
	// ReportTarget is the request target of the replica's report, empty for none.
	ReportTarget() string
	// IsReport reports whether a response may be the report. Extra responses to earlier requests
	// on the connection are not.
	IsReport(r *http.Response) bool
	// Identify decodes a report that came on a connection which was opened at a time.
	Identify(report []byte, opened time.Time) Identity
	// Await waits for a limited time until Owns is true, and returns it.
	Await(ctx context.Context, opened time.Time) bool
}

// ensureProcess returns a connection that leads to the process that a call needs: the given one,
// or another one if that could not be used after its replica was asked. The replica is asked on
// the connection itself, which does not survive the end of its process.
func (c *Connector) ensureProcess(ctx context.Context, q *Call, x *conn) (*conn, error) {
	if q.Process == nil || q.Process.Owns(x.openedAt) {
		return x, nil
	}
	if q.Process.ReportTarget() != "" {
		identity, reusable, err := c.identify(ctx, q, x)
		switch {
		case err != nil:
			c.put(q.Instance, x, q.Limit, false)
			return nil, errors.Wrap(err, "ask for the report")
		case identity == OtherProcess:
			c.put(q.Instance, x, q.Limit, false)
			c.sawEnd(q.Instance)
			return nil, ErrOtherProcess
		case identity == SameProcess && reusable:
			return x, nil
		case identity == SameProcess:
			c.put(q.Instance, x, q.Limit, false)
			return nil, ErrUnidentified
		case !reusable:
			c.put(q.Instance, x, q.Limit, false)
			if x, err = c.get(ctx, q); err != nil {
				return nil, err
			}
		}
	}
	owned := q.Process.Await(ctx, x.openedAt)
	if healthy := x.healthy(); !owned || !healthy {
		c.put(q.Instance, x, q.Limit, healthy)
		return nil, ErrUnidentified
	}
	return x, nil
}

// identifyProcess is ensureProcess for a Process whose functions may panic: the connection is
// closed then.
func (c *Connector) identifyProcess(ctx context.Context, q *Call, x *conn) (owned *conn, err error) {
	panicked := true
	defer func() {
		if panicked {
			c.put(q.Instance, x, q.Limit, false)
		}
	}()
	owned, err = c.ensureProcess(ctx, q, x)
	panicked = false
	return owned, err
}

// Identify asks a replica which process it is, for a call of which only the instance and the process
// are used. It returns an error if the replica can't be asked.
func (c *Connector) Identify(ctx context.Context, q *Call) (Identity, error) {
	x, err := c.get(ctx, q)
	if err != nil {
		return UnknownProcess, err
	}
	reusable := false
	defer func() { c.put(q.Instance, x, q.Limit, reusable) }() // Also if a function of the call panics.
	identity, reusable, err := c.identify(ctx, q, x)
	reusable = reusable && identity != OtherProcess
	return identity, errors.Wrap(err, "ask for the report")
}

// identify asks a replica for its report, and reports whether the connection can be used after
// that.
func (c *Connector) identify(ctx context.Context, q *Call, x *conn) (identity Identity, reusable bool, err error) {
	report, reusable, err := c.readReport(ctx, q, x)
	if err != nil || report == nil {
		return UnknownProcess, reusable, err
	}
	return q.Process.Identify(report, x.openedAt), reusable, nil
}

// readReport reads the report of a replica, nil if it has none, and reports whether the
// connection can be used after that.
func (c *Connector) readReport(ctx context.Context, q *Call, x *conn) (report []byte, reusable bool, err error) {
	c.identified.Add(1)
	deadline := time.Now().Add(identifyTimeout)
	if q.Deadline.Before(deadline) {
		deadline = q.Deadline
	}
	e := c.newExchange(ctx, q, x, deadline)
	if _, err = e.send(&Call{Method: http.MethodGet, Target: q.Process.ReportTarget(), Host: q.Address}); err == nil {
		err = e.receive(&Call{Method: http.MethodGet, Matches: q.Process.IsReport})
	}
	// A replica without reports may run the request for one like any other, and its stream would
	// take as long as a turn.
	if err == nil && !IsStream(e.Response) {
		report, err = io.ReadAll(io.LimitReader(e, maxReportBytes))
	}
	if err == nil && e.Response.StatusCode != http.StatusOK {
		report = nil
	}
	return report, e.finish(), e.observe(err)
}

// ObserveEnds sets the function that is called when a replica's process is seen to end: its
// connection broke off or was reset, or a dial was refused. It must be set before the first
// call. What a peer's connection shows is not reported, nor what a cut link does.
func (c *Connector) ObserveEnds(f func(instance string)) { c.onEnd = f }

func (c *Connector) sawEnd(instance string) {
	defer supervisor.Recover("connector: end of a replica")
	if c.onEnd != nil {
		c.onEnd(instance)
	}
}

// sawDial reports a direct dial that was refused, unless the link counts as cut.
func (c *Connector) sawDial(instance string, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) && !c.paths.cut(instance, time.Now()) {
		c.sawEnd(instance)
	}
}

// observe reports that the replica broke off the connection if that is what an error says, and
// returns the error.
func (e *Exchange) observe(err error) error {
	if !e.conn.detoured && isBrokenOff(err) {
		e.connector.sawEnd(e.instance)
	}
	return err
}

// isBrokenOff reports whether an error means that the replica closed the connection.
func isBrokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
