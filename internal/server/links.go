package server

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/connector"
)

// hasEnded reports whether the process of a replica at an address has ended. A refused
// connection may also mean that the link is cut, so peers are asked as well. If none of them
// answers, it counts only if this daemon reaches other replicas.
func (d *Daemon) hasEnded(ctx context.Context, address string) bool {
	if !connector.Refused(ctx, address) {
		return false
	}
	r := d.tracker.AtAddress(address)
	ended := r == nil || d.tunnels.Ended(ctx, r, (&reach{daemon: d, address: address}).run)
	if ended {
		d.endings.add(address, time.Now())
	}
	return ended
}

// sawEnd records that the process of an instance was seen to end.
func (d *Daemon) sawEnd(instance string) {
	if d.tracker.SawEnd(instance, time.Now()) {
		d.logger.Event("server", "replica ended").Str("instance", instance).End()
	}
}

// logCutOff logs when this daemon no longer reaches any replica itself, and when it does again.
func (d *Daemon) logCutOff() {
	since, cut := d.conns.CutOff()
	switch {
	case cut && d.cutOffSince.IsZero():
		d.cutOffSince = since
		d.logger.Event("server", "cut off from replicas").Dur("since", time.Since(since)).End()
	case !cut && !d.cutOffSince.IsZero():
		d.logger.Event("server", "replicas reached again").Dur("after", time.Since(d.cutOffSince)).End()
		d.cutOffSince = time.Time{}
	}
}
