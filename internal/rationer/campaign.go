package rationer

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/ratelimiter"
	"pimentorail.example/pimentorail/internal/supervisor"
)

// run renews the leases of the arcs that this daemon holds.
func (x *Rationer) run() error {
	for {
		select {
		case <-time.After(tick):
		case <-x.tomb.Dying():
			return nil
		}
		for _, arc := range x.due() {
			x.beginCampaign(arc)
		}
	}
}

// due returns the arcs whose leases are to be renewed, and forgets what is over.
func (x *Rationer) due() []string {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, until := range x.avoided {
		if now.After(until) {
			delete(x.avoided, name)
		}
	}
	for arc, r := range x.routes {
		if now.After(r.until) {
			delete(x.routes, arc)
		}
	}
	return x.limiter.Due(now)
}

// beginCampaign begins to ask the voters of an arc, unless that is under way.
func (x *Rationer) beginCampaign(arc string) <-chan bool {
	held := make(chan bool, 1)
	go (&campaign{rationer: x, arc: arc, held: held}).run()
	return held
}

// campaign asks the voters of an arc to let this daemon hold it, or waits for an attempt that is under way. It
// returns whether this daemon holds the arc.
func (x *Rationer) campaign(ctx context.Context, arc string) bool {
	select {
	case held := <-x.beginCampaign(arc):
		return held
	case <-ctx.Done():
		return false
	}
}

// campaign is one wait for an attempt to hold an arc.
type campaign struct {
	rationer *Rationer
	arc      string
	held     chan<- bool
}

func (c *campaign) run() {
	held, _, _ := c.rationer.campaigns.Do(c.arc, func() (any, error) {
		held := false
		err := supervisor.Do("rationer: campaign", func() error {
			held = c.elect()
			return nil
		})
		return held, err
	})
	c.held <- held.(bool)
}

// elect asks one voter after the other.
func (c *campaign) elect() bool {
	x := c.rationer
	began := time.Now()
	var candidacy *ratelimiter.Candidacy
	x.locked(func() { candidacy = x.limiter.Candidate(c.arc, began) })
	if candidacy == nil {
		return false
	}
	for {
		var voter ratelimiter.Member
		var ballot ratelimiter.Ballot
		var ok bool
		x.locked(func() { voter, ballot, ok = candidacy.Next(time.Now()) })
		if !ok {
			break
		}
		var vote *ratelimiter.Vote
		var reply ratelimiter.Vote
		if x.call(context.Background(), voter, voteMethod, ballot, &reply) {
			vote = &reply
		}
		x.locked(func() { candidacy.Receive(voter, vote, time.Now()) })
	}
	held := false
	x.locked(func() { held = candidacy.Elect(time.Now()) })
	if candidacy.Acquires() {
		x.dependencies.Logger.Event("rationer", "candidacy").Str("arc", c.arc).Bool("held", held).Str("voter", candidacy.Voter()).
			Dur("known", min(candidacy.Known(), time.Hour)).Dur("took", time.Since(began)).End()
	}
	return held
}
