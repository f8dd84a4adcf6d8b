package connector

import (
	"sync"
	"time"
)

const (
	// probePeriod is the time between two attempts to reach a replica directly while its
	// link counts as cut.
	probePeriod = 400 * time.Millisecond
	// detourPause is how long no detour is tried to a replica that peers did not reach
	// either.
	detourPause = 500 * time.Millisecond
	// cutRetention is how long an unused replica is remembered.
	cutRetention = 30 * time.Second
	// minCutLinks is the number of replicas whose links must be cut, with none reached
	// directly since, until all links of this daemon count as cut.
	minCutLinks = 2
)

// paths decides whether a connection to a replica is opened directly or through a peer. It
// knows what attempts showed, and has no clock or socket.
//
// A replica that this daemon does not reach may have failed, or the link to it. Only a peer
// that reaches the replica at that time shows that it is the link. Where several links turn
// out to be cut and none works, all of them count as cut, which saves the others' first
// requests the time to find out.
type paths struct {
	mu    sync.Mutex
	links map[string]*link
	// reachedAt is when any replica was last reached directly.
	reachedAt time.Time
	// probedAt is when a link that only counts as cut because of the others was last probed.
	probedAt time.Time
}

// link is what is known of the link to one replica.
type link struct {
	// cutSince is when the link was found to be cut, zero if it is not.
	cutSince time.Time
	probedAt time.Time
	// noDetourUntil is the time until which peers are not asked again.
	noDetourUntil time.Time
	usedAt        time.Time
}

// plan is how to open a connection.
type plan struct {
	// direct is set if the replica is dialed directly, and detour if peers may be asked. With
	// neither there is no way to the replica at present.
	direct, detour bool
	// cut is set if the link counts as cut, so that peers are asked at once. A direct
	// attempt beside that is a probe.
	cut bool
}

func newPaths() *paths { return &paths{links: map[string]*link{}} }

// plan returns how to open a connection to a replica, and counts a probe that it contains.
func (p *paths) plan(instance string, now time.Time) plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.link(instance, now)
	if !p.isCut(l) {
		return plan{direct: true, detour: !now.Before(l.noDetourUntil)}
	}
	return plan{direct: p.probeLocked(l, now), detour: !now.Before(l.noDetourUntil), cut: true}
}

// probe reports whether a link that counts as cut is to be probed now, and counts the probe.
func (p *paths) probe(instance string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.link(instance, now)
	return p.isCut(l) && p.probeLocked(l, now)
}

// probeLocked implements probe for a link that counts as cut. The caller holds the lock.
func (p *paths) probeLocked(l *link, now time.Time) bool {
	probedAt := &l.probedAt
	if l.cutSince.IsZero() {
		probedAt = &p.probedAt
	}
	if now.Sub(*probedAt) < probePeriod {
		return false
	}
	*probedAt = now
	return true
}

// cut reports whether the link to a replica counts as cut.
func (p *paths) cut(instance string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCut(p.link(instance, now))
}

// allCut returns since when all links count as cut, and false if they do not.
func (p *paths) allCut() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allCutLocked()
}

// reached records that a replica was reached directly.
func (p *paths) reached(instance string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachedAt = now
	p.link(instance, now).cutSince = time.Time{}
}

// detoured records that a peer reached a replica which this daemon does not.
func (p *paths) detoured(instance string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.link(instance, now)
	l.noDetourUntil = time.Time{}
	if l.cutSince.IsZero() {
		l.cutSince, l.probedAt = now, now
	}
}

// unreached records that no peer reached a replica either.
func (p *paths) unreached(instance string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.link(instance, now)
	l.cutSince, l.noDetourUntil = time.Time{}, now.Add(detourPause)
}

// evict forgets the replicas that were not used for a while.
func (p *paths) evict(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, l := range p.links {
		if now.Sub(l.usedAt) > cutRetention {
			delete(p.links, instance)
		}
	}
}

// isCut implements cut. The caller holds the lock.
func (p *paths) isCut(l *link) bool {
	_, all := p.allCutLocked()
	return all || !l.cutSince.IsZero()
}

// allCutLocked implements allCut. The caller holds the lock.
func (p *paths) allCutLocked() (time.Time, bool) {
	n := 0
	var since time.Time
	for _, l := range p.links {
		if l.cutSince.After(p.reachedAt) {
			n++
			if since.IsZero() || l.cutSince.Before(since) {
				since = l.cutSince
			}
		}
	}
	return since, n >= minCutLinks
}

// link returns what is known of the link to a replica. The caller holds the lock.
func (p *paths) link(instance string, now time.Time) *link {
	l := p.links[instance]
	if l == nil {
		l = &link{}
		p.links[instance] = l
	}
	l.usedAt = now
	return l
}
