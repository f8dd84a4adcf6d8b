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
		now := time.Now()
		x.mu.Lock()
		due := x.limiter.Due(now)
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
		x.mu.Unlock()
		for _, arc := range due {
			x.beginCampaign(arc)
		}
	}
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
	x.mu.Lock()
	began := time.Now()
	candidacy := x.limiter.Candidate(c.arc, began)
	x.mu.Unlock()
	if candidacy == nil {
		return false
	}
	for {
		x.mu.Lock()
		voter, ballot, ok := candidacy.Next(time.Now())
		x.mu.Unlock()
		if !ok {
			break
		}
		var vote *ratelimiter.Vote
		var reply ratelimiter.Vote
		if x.call(context.Background(), voter, voteMethod, ballot, &reply) {
			vote = &reply
		}
		x.mu.Lock()
		candidacy.Receive(voter, vote, time.Now())
		x.mu.Unlock()
	}
	x.mu.Lock()
	held := candidacy.Elect(time.Now())
	x.mu.Unlock()
	if candidacy.Acquires() {
		x.dependencies.Logger.Event("rationer", "candidacy").Str("arc", c.arc).Bool("held", held).Str("voter", candidacy.Voter()).
			Dur("known", min(candidacy.Known(), time.Hour)).Dur("took", time.Since(began)).End()
	}
	return held
}
