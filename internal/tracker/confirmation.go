package tracker

import "time"

// RowDelay is how long after it begins to listen a replica may take to write its first row. A
// connection that is opened within that time may lead to a process whose row is not there yet.
const RowDelay = 300 * time.Millisecond

// confirmation decides which connections to a replica's address lead to the process that its
// registry row describes. It has no clock and no socket.
//
// It handles a replica that crashes and is back under its id and address, with another
// version, before the registry is read again. A read that began after a connection was
// opened, and that still shows the instance, proves the connection: the next process would
// have written its own row. Once the end of the process was seen, an unchanged row proves
// nothing more. Then the instance must have written a further row since.
type confirmation struct {
	// provenUntil is the latest time at which an opened connection is taken to lead to the
	// instance, and aliveAt the latest time at which the instance is certain to have lived.
	provenUntil, aliveAt time.Time
	// lastRead is when the last read began, and lastSequence what it showed.
	lastRead     time.Time
	lastSequence int64
	// aliveVersion is the latest version of the store after which the instance is certain to have
	// lived, and lastVersion that of the last read.
	aliveVersion, lastVersion uint64
	// endedAt is when the process was last seen to end, zero if the instance is confirmed.
	endedAt time.Time
	// sequence is that of the first row that was read after the end was seen, and sequenceRead
	// is set once it was. That row may have been written before the end; one with a higher
	// sequence was not.
	sequence     int64
	sequenceRead bool
}

// sawEnd records that the process was seen to end. It returns false if that was known.
func (c *confirmation) sawEnd(now time.Time) bool {
	first := c.endedAt.IsZero()
	if now.After(c.endedAt) {
		c.endedAt, c.sequenceRead = now, false
	}
	return first
}

// read records that a read of the registry, as of a version of the store, shows the instance with a
// sequence. It returns true if that confirms an instance whose process was seen to end.
func (c *confirmation) read(began time.Time, version uint64, sequence int64) bool {
	if !c.lastRead.IsZero() && sequence > c.lastSequence {
		c.aliveAt = later(c.aliveAt, c.lastRead) // The row was written after that read began.
		c.aliveVersion = c.lastVersion
	}
	c.lastRead, c.lastVersion, c.lastSequence = began, version, sequence
	confirmed := false
	switch {
	case c.endedAt.IsZero():
	case !began.After(c.endedAt):
		return false
	case !c.sequenceRead:
		c.sequence, c.sequenceRead = sequence, true
		return false
	case sequence <= c.sequence:
		return false
	default:
		c.endedAt, c.sequenceRead, confirmed = time.Time{}, false, true
	}
	c.provenUntil = later(c.provenUntil, began.Add(-RowDelay))
	return confirmed
}

// identified records that the process named itself on a connection that was opened at a time.
// It lived then, so that what was seen before was not its end.
func (c *confirmation) identified(opened time.Time) {
	c.provenUntil, c.aliveAt = later(c.provenUntil, opened), later(c.aliveAt, opened)
	if opened.After(c.endedAt) {
		c.endedAt, c.sequenceRead = time.Time{}, false
	}
}

// owns reports whether a connection that was opened at a time leads to the instance, unless the
// next process writes its first row late.
func (c *confirmation) owns(opened time.Time) bool { return !opened.After(c.provenUntil) }

// outlived reports whether the instance lived after a connection was opened, so that no later
// process has accepted it.
func (c *confirmation) outlived(opened time.Time) bool { return !opened.After(c.aliveAt) }

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
