package relayer

import "time"

// maxContactGap is the longest time between two reads of the registry that counts as no
// interruption. Daemons read it every 0.7 s and wait at most 0.9 s for the reply, so that a
// longer time means that the daemon was frozen.
const maxContactGap = 2500 * time.Millisecond

// contact is for how long this daemon has read the registry of replicas itself without
// interruption. It handles outages of the registry's store, a daemon that is frozen, and one
// that has just started. It has no clock, socket or lock.
type contact struct {
	// since is the first read since the last interruption, zero while there is no contact.
	since, readAt time.Time
	// lost is set if the last interruption was a failed read, or one through a peer.
	lost bool
}

// read records a read, directly or through a peer. What a peer reads says that the store is
// not available to this daemon.
func (c *contact) read(now time.Time, direct bool) {
	switch {
	case !direct:
		c.lose()
		return
	case c.since.IsZero():
		c.since = now
	case now.Sub(c.readAt) > maxContactGap:
		c.since, c.lost = now, false
	}
	c.readAt = now
}

// lose records a failed read.
func (c *contact) lose() { c.since, c.lost = time.Time{}, true }

// reply returns what a peer is told.
func (c *contact) reply(now time.Time) ContactReply {
	switch {
	case c.since.IsZero():
		return ContactReply{Lost: c.lost}
	case now.Sub(c.readAt) > maxContactGap:
		return ContactReply{}
	}
	return ContactReply{Contact: now.Sub(c.since), Lost: c.lost}
}
