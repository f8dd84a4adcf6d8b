package forwarder

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	// confirmWait is how long a request that was broken off waits for a replica while it is not
	// known whether the other replica has ended. The isolator usually knows after a dial, and
	// asks peers for half a second at most.
	confirmWait = 250 * time.Millisecond
	// confirmPoll is the time between two attempts to place such a request.
	confirmPoll = 50 * time.Millisecond
	// unreachedRetryAfter is the minimum delay for a client whose request reached none of
	// maxAttempts replicas. So many are away after crashes, which takes seconds.
	unreachedRetryAfter = time.Second
	// heldRetryAfter is the time after which a client should retry whose request shares a
	// condemned beginning while another one is tried, and maxHeldRetryAfter bounds the time
	// until the next trial that is named to it. The beginning is cleared earlier if one is served.
	heldRetryAfter    = time.Second
	maxHeldRetryAfter = 10 * time.Second
)

// refuseCondemned returns a fault for a request that crashes the replicas that run it, for
// which the client is not asked to come back, and for one that shares a condemned beginning
// with such requests and is not to be tried yet.
func (f *Forwarder) refuseCondemned(j *job) *classifier.Fault {
	v := f.isolator.Check(j.mark)
	switch {
	case v.Condemned:
		return classifier.New(classifier.CrashesTarget, classifier.RanUnknown, "%d replicas ended while they ran this request; it began and did not finish", v.Crashes)
	case v.Held && v.RetryAfter > 0:
		return f.refuseHeld(j, min(v.RetryAfter, maxHeldRetryAfter))
	}
	return nil
}

// refuseUntried is refuseCondemned for a request that is about to be sent. One that shares a
// condemned beginning begins its trial here.
func (f *Forwarder) refuseUntried(ctx context.Context, j *job) *classifier.Fault {
	if fault := f.refuseCondemned(j); fault != nil {
		return fault
	}
	if f.isolator.Try(ctx, j.mark) {
		return nil
	}
	return f.refuseHeld(j, heldRetryAfter)
}

// refuseHeld returns the fault for a request that shares a condemned beginning.
func (f *Forwarder) refuseHeld(j *job, after time.Duration) *classifier.Fault {
	if j.possibleRuns > 0 {
		return f.fault(j, classifier.TargetBroken)
	}
	return classifier.New(classifier.Overloaded, classifier.RanNo, "requests that begin in the same way ended the replicas that ran them; this one is tried later").After(withJitter(after))
}

// suspicion returns what is known against a request that is about to be sent.
func (f *Forwarder) suspicion(j *job) selector.Suspicion {
	return selector.Suspicion{Fingerprint: f.isolator.Suspected(j.mark), Crashes: f.isolator.Check(j.mark).Crashes}
}

// recordEvidence records what the end of an attempt says about the request: a response that
// it crashes no replica, a connection that its replica broke off that it may.
func (f *Forwarder) recordEvidence(j *job, c *selector.Choice, res result) {
	switch {
	case res == answered:
		f.isolator.Served(j.mark, j.request.Arrived)
	case (res == ambiguous || res == truncated) && isBrokenOff(j.cause) && !c.IsEnding():
		f.isolator.BrokeOff(j.service.Name, c.Instance, c.Replica.Address, j.mark)
	}
}

// awaitConfirmation waits for a while if the request or an equal one was broken off, so that it
// is held back only if the replica has ended and not merely its connection. It returns false if
// the request has waited for long enough.
func (f *Forwarder) awaitConfirmation(ctx context.Context, j *job) bool {
	if j.heldFor >= confirmWait || j.possibleRuns == 0 && !f.isolator.Confirming(j.mark) {
		return false
	}
	j.heldFor += confirmPoll
	select {
	case <-time.After(confirmPoll):
		return true
	case <-ctx.Done():
		return false
	}
}

// awayRetryAfter returns the time after which a client should retry whose request reached no
// replica.
func (f *Forwarder) awayRetryAfter(j *job) time.Duration {
	after := f.options.RetryAfter
	switch {
	case j.busy != nil:
		after = max(after, j.busy.RetryAfter())
	case j.attempts >= maxAttempts:
		after = max(after, unreachedRetryAfter)
	}
	return withJitter(after)
}

// isBrokenOff reports whether an exchange failed because the replica closed the connection.
func isBrokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
