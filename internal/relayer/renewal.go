package relayer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// renewalPoll is the time between two checks whether the member row is to be written.
	renewalPoll = time.Second
	// retryRenewalAfter is the shortest time between two attempts, and the longest delay added
	// to it. After an outage of the store, all daemons write their rows within this time.
	retryRenewalAfter = 5 * time.Second
)

// renewal writes the member row again and again, so that the others know that this daemon is
// alive. Each write has the condition that the row is as this daemon left it, so that one that
// takes effect late does not bring back a row that was deleted meanwhile.
type renewal struct {
	relayer *Relayer
	version uint64
	// dueAt is when the row is to be written, and retryAt the earliest time for that.
	dueAt, retryAt time.Time
	renewedAt      time.Time
}

// newRenewal returns a renewal after the row was written with a version.
func newRenewal(x *Relayer, version uint64, now time.Time) *renewal {
	r := &renewal{relayer: x}
	r.renewed(version, now)
	return r
}

func (r *renewal) run() error {
	x := r.relayer
	for x.sleep(renewalPoll) && !x.left.Load() {
		now := time.Now()
		missing := x.members.rowMissing()
		if now.Before(r.retryAt) || now.Before(r.dueAt) && !missing {
			continue
		}
		if missing {
			r.version = 0
		}
		lost := missing || now.Sub(r.renewedAt) > memberLifetime
		if r.write(x.tomb.Context(nil), now) && lost {
			// The others may have taken this daemon for dead.
			x.tomb.Go(supervisor.Task("relayer: announcement", (&announcement{relayer: x}).run))
		}
	}
	return nil
}

// renewed records a successful write.
func (r *renewal) renewed(version uint64, now time.Time) {
	r.version, r.renewedAt = version, now
	r.dueAt = now.Add(renewPeriod + rand.N(renewJitter))
}

// write writes the row, directly or through a peer. It returns true if that succeeded.
func (r *renewal) write(ctx context.Context, now time.Time) bool {
	x := r.relayer
	r.retryAt = now.Add(retryRenewalAfter + rand.N(retryRenewalAfter))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	value, err := x.memberValue(now)
	if err != nil {
		return false
	}
	version, err := x.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: x.key(), Version: r.version}}, Writes: []storer.Write{{Key: x.key(), Value: value}},
	})
	if errors.Is(err, storer.ErrConflict) {
		// The row was removed, or an earlier write in doubt took effect.
		var row storer.Row
		if row, err = x.Get(ctx, x.key()); err == nil {
			r.version, r.retryAt = row.Version, now
			err = storer.ErrConflict
		}
	}
	if err != nil {
		x.logger.Event("relayer", "member row not renewed").Err(err).End()
		return false
	}
	r.renewed(version, now)
	return true
}

// memberValue returns the value of this daemon's member row.
func (x *Relayer) memberValue(now time.Time) ([]byte, error) {
	value, err := json.Marshal(member{Address: x.options.Address, Process: x.options.Process, RenewedMS: now.UnixMilli()})
	return value, errors.Wrap(err, "encode member row")
}
