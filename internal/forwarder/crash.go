package forwarder

import (
	"io"
	"syscall"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// refuseCondemned returns a fault for a request that crashes the replicas that run it. The
// client is not asked to come back.
func (f *Forwarder) refuseCondemned(j *job) *classifier.Fault {
	v := f.isolator.Check(j.mark)
	if !v.Condemned {
		return nil
	}
	return classifier.New(classifier.CrashesTarget, classifier.RanUnknown, "%d replicas ended while they ran this request; it began and did not finish", v.Crashes)
}

// suspicion returns what is known against a request that is about to be sent.
func (f *Forwarder) suspicion(j *job) selector.Suspicion {
	return selector.Suspicion{Fingerprint: j.mark.Start, Crashes: f.isolator.Check(j.mark).Crashes}
}

// recordEvidence records what the end of an attempt says about the request: a response that
// it crashes no replica, a connection that its replica broke off that it may.
func (f *Forwarder) recordEvidence(j *job, c *selector.Choice, res result) {
	switch {
	case res == answered:
		f.isolator.Served(j.mark)
	case (res == ambiguous || res == truncated) && isBrokenOff(j.cause) && !c.IsEnding():
		f.isolator.BrokeOff(j.service.Name, c.Instance, c.Replica.Address, j.mark)
	}
}

// isBrokenOff reports whether an exchange failed because the replica closed the connection.
func isBrokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
