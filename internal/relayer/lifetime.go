package relayer

import "time"

const (
	// renewPeriod is the shortest time between two writes of a member row, and renewJitter
	// the longest delay added to it, so that daemons that started together don't write
	// together.
	renewPeriod = 100 * time.Second
	renewJitter = 40 * time.Second
	// memberLifetime is how long a member row is valid without a new write. It allows for one
	// renewal that is missed.
	memberLifetime = 5 * time.Minute
	// maxReadGap bounds the time that counts between two reads of the member rows. While the
	// store is down, or this daemon is frozen, no row is read, and none grows old.
	maxReadGap = 2 * membersPeriod
	// maxSilent is how often in succession a daemon whose row has not been renewed must not
	// answer. The calls are at least membersPeriod apart, longer than a daemon is frozen.
	maxSilent = 3
	// retryProbeAfter is the time between two calls to a daemon that did not answer them.
	retryProbeAfter = time.Minute
	// previousBuildRetention is how long a daemon of the previous build must not answer until
	// its row is removed. It writes its row only when it starts, so a row that is removed in
	// error stays away.
	previousBuildRetention = 30 * time.Minute
)

// lifetime decides whether a member row still names a peer. It handles daemons that were
// killed, which leave their rows behind; a store that is down, or takes no writes, so that
// nobody can renew a row; and daemons of the previous build, which never renew theirs. A row
// that was not renewed is therefore valid as long as its daemon answers. It has no clock,
// socket or lock.
type lifetime struct {
	version uint64
	// renews is set if the daemon renews its row.
	renews bool
	// unrenewed is for how long the row has been read without a new version, or without an
	// answer of its daemon.
	unrenewed time.Duration
	// silent is the number of calls since then that were not answered, and calledAt the time
	// of the last.
	silent   int
	calledAt time.Time
	// removedAt is when the row was last to be removed.
	removedAt time.Time
}

// write records the row as it was read.
func (l *lifetime) write(version uint64, renews bool) {
	if version != l.version {
		*l = lifetime{version: version, renews: renews}
	}
}

// age records a read of the rows, that long after the one before.
func (l *lifetime) age(sinceLastRead time.Duration) { l.unrenewed += min(sinceLastRead, maxReadGap) }

// answer records a sign of life of the daemon.
func (l *lifetime) answer() { l.unrenewed, l.silent = 0, 0 }

// fail records a call that the daemon did not answer.
func (l *lifetime) fail() { l.silent++ }

// call reports whether the daemon is to be called now to find out whether it answers.
func (l *lifetime) call(now time.Time) bool {
	wait := time.Duration(0)
	if l.expired() {
		wait = retryProbeAfter
	}
	if l.unrenewed <= memberLifetime || now.Sub(l.calledAt) < wait {
		return false
	}
	l.calledAt = now
	return true
}

// expired reports whether the row names no peer.
func (l *lifetime) expired() bool { return l.unrenewed > memberLifetime && l.silent >= maxSilent }

// remove reports whether the row is to be removed now. A failed removal is tried again.
func (l *lifetime) remove(now time.Time) bool {
	retained := memberLifetime
	if !l.renews {
		retained = previousBuildRetention
	}
	if !l.expired() || l.unrenewed < retained || now.Sub(l.removedAt) < retryProbeAfter {
		return false
	}
	l.removedAt = now
	return true
}
