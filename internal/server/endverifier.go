package server

import "time"

// verifyPeriod is the time between two rounds of questions to replicas whose end was seen.
const verifyPeriod = time.Second

// endVerifier asks replicas whose process was seen to end whether it did.
type endVerifier struct{ daemon *Daemon }

func (v *endVerifier) run() error {
	d := v.daemon
	for {
		select {
		case <-time.After(verifyPeriod):
			d.forwarder.VerifyEnds(d.tomb.Context(nil))
		case <-d.tomb.Dying():
			return nil
		}
	}
}
