package rationer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/ratelimiter"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// callTimeout bounds one call of a member, and takeTimeout the wait of a request for a credit.
	callTimeout = 50 * time.Millisecond
	takeTimeout = 120 * time.Millisecond
	// tick is the time between two looks at the leases.
	tick = 100 * time.Millisecond
	// avoidFor is how long a member that did not reply is asked last, and routeFor how long one that
	// had replied for another is asked first.
	avoidFor = 400 * time.Millisecond
	routeFor = time.Second
	// maxServeRounds bounds the attempts to hold an arc for one request.
	maxServeRounds = 3
)

// Options configures a Rationer.
type Options struct {
	// VM is the name of this VM, Process that of this process, and Address its address for peers, empty without peers.
	VM, Process, Address string
	Tolerance            ratelimiter.Tolerance
	// Needed reports whether the configuration names accounts, which may have limits.
	Needed func() bool
}

// Dependencies are the components that a Rationer depends on.
type Dependencies struct {
	Peers  messenger.Caller
	Table  storer.Table
	Feed   storer.Feed
	Logger *logger.Logger
}

// Rationer takes the credits that requests of limited accounts need.
type Rationer struct {
	options      Options
	dependencies Dependencies
	self         ratelimiter.Member
	tomb         *tomb.Tomb

	mu      sync.Mutex
	limiter *ratelimiter.Limiter
	// routes are the members that serve an arc in place of its own, and avoided those that did not reply.
	routes  map[string]route
	avoided map[string]time.Time
	// campaigns has one attempt to hold an arc at a time.
	campaigns singleflight.Group
	// ready is set once the members were known or not needed.
	ready  bool
	counts counts
}

// route is the member that last served an arc.
type route struct {
	name  string
	until time.Time
}

type counts struct{ granted, exhausted, unknown, asked, served, reserved atomic.Int64 }

// Counts are the numbers of credits granted and refused for requests of this daemon, of those for which no holder was
// reached, of calls for this daemon and for others, and of credits from the reserve.
type Counts struct{ Granted, Exhausted, Unknown, Asked, Served, Reserved int64 }

// New returns a Rationer that knows no other members; Start begins to discover them.
func New(d Dependencies, o Options) *Rationer {
	now := time.Now()
	self := ratelimiter.Member{Name: o.VM, Address: o.Address}
	x := &Rationer{
		options: o, dependencies: d, self: self, limiter: ratelimiter.New(self, o.Process, o.Tolerance, now),
		routes: map[string]route{}, avoided: map[string]time.Time{},
	}
	if o.Address == "" {
		x.limiter.SetRing(ratelimiter.NewRing(self), now)
	}
	return x
}

// Start discovers the other members once the configuration names accounts, and renews leases until the context ends.
func (x *Rationer) Start(ctx context.Context) {
	x.tomb, _ = tomb.WithContext(ctx)
	x.tomb.Go(supervisor.Loop(x.tomb, "rationer: leases", x.run))
	if x.options.Address != "" {
		x.tomb.Go(supervisor.Task("rationer: members", (&membership{rationer: x}).run))
	}
}

// Ready reports whether this daemon may begin to serve requests of limited accounts: the members are known, or not needed. It
// stays true, so that a configuration with the first limits does not send clients away from all daemons.
func (x *Rationer) Ready() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ready = x.ready || x.limiter.Ring() != nil || !x.options.Needed()
	return x.ready
}

// Counts returns the counters.
func (x *Rationer) Counts() Counts {
	c := &x.counts
	return Counts{c.granted.Load(), c.exhausted.Load(), c.unknown.Load(), c.asked.Load(), c.served.Load(), c.reserved.Load()}
}

// Credit is one credit of an account; the zero value is none.
type Credit struct {
	rationer *Rationer
	key      uint64
	// from is the member that took it.
	from ratelimiter.Member
}

// Held reports whether there is a credit.
func (c Credit) Held() bool { return c.rationer != nil }

// GiveBack returns the credit of a request that did not run, and does not wait for that.
func (c Credit) GiveBack() {
	if c.rationer == nil {
		return
	}
	if c.from == c.rationer.self {
		c.rationer.giveBack(c.key)
		return
	}
	go (&giveBackCall{c}).run()
}

// giveBackCall returns a credit to another member. If it fails, the credit counts as used.
type giveBackCall struct{ credit Credit }

func (c *giveBackCall) run() {
	defer supervisor.Recover("rationer: unused credit")
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = c.credit.rationer.dependencies.Peers.Call(ctx, c.credit.from.Address, giveBackMethod, GiveBackRequest{c.credit.key}, &Empty{})
}

func (x *Rationer) giveBack(key uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.limiter.GiveBack(key, time.Now())
}

// Take takes a credit of an account with a limit, of a version of the configuration. Without one the outcome is Exhausted
// if the limit is reached, or Unknown if no member can tell, and the client is to come back after wait.
func (x *Rationer) Take(ctx context.Context, account string, l ratelimiter.Limit, version uint64) (c Credit, o ratelimiter.Outcome, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	q := TakeRequest{Key: ratelimiter.KeyOf(account), Rate: l.Rate(), Burst: l.Burst(), Version: version}
	arc, members := x.order(q.Key)
	for i, m := range members {
		r, ok := x.takeFrom(ctx, m, q)
		if !ok {
			wait = max(wait, r.Wait)
			continue
		}
		if i > 0 {
			x.setRoute(arc, m.Name)
		}
		if r.Outcome == ratelimiter.Granted {
			x.counts.granted.Add(1)
			return Credit{rationer: x, key: q.Key, from: m}, r.Outcome, 0
		}
		x.counts.exhausted.Add(1)
		return Credit{}, r.Outcome, r.Wait
	}
	x.counts.unknown.Add(1)
	return Credit{}, ratelimiter.Unknown, max(wait, ratelimiter.RenewAfter)
}

// takeFrom asks one member, which may be this daemon, and reports whether it decided.
func (x *Rationer) takeFrom(ctx context.Context, m ratelimiter.Member, q TakeRequest) (r TakeReply, ok bool) {
	if m == x.self {
		r = x.serve(ctx, q)
	} else {
		x.counts.asked.Add(1)
		if !x.call(ctx, m, takeMethod, q, &r) {
			return TakeReply{}, false
		}
	}
	return r, r.Outcome == ratelimiter.Granted || r.Outcome == ratelimiter.Exhausted
}

// order returns the arc of a key and the members to ask: those of its trio, the one that lately served it first, and those that
// did not reply last.
func (x *Rationer) order(key uint64) (string, []ratelimiter.Member) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	arc := x.limiter.ArcOf(key)
	trio := x.limiter.Ring().Trio(key)
	preferred := x.routes[arc]
	plain := true
	for _, m := range trio {
		plain = plain && !now.Before(x.avoided[m.Name])
	}
	if plain && !now.Before(preferred.until) {
		return arc, trio
	}
	rank := func(m ratelimiter.Member) int {
		switch {
		case now.Before(x.avoided[m.Name]):
			return 2
		case m.Name == preferred.name && now.Before(preferred.until):
			return 0
		}
		return 1
	}
	members := slices.Clone(trio)
	slices.SortStableFunc(members, func(a, b ratelimiter.Member) int { return rank(a) - rank(b) })
	return arc, members
}

func (x *Rationer) setRoute(arc, name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.routes[arc] = route{name, time.Now().Add(routeFor)}
}

// call calls another member. One that does not reply is avoided for a while.
func (x *Rationer) call(ctx context.Context, m ratelimiter.Member, method string, args, reply any) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := x.dependencies.Peers.Call(ctx, m.Address, method, args, reply)
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil {
		x.avoided[m.Name] = time.Now().Add(avoidFor)
		return false
	}
	delete(x.avoided, m.Name)
	return true
}

// serve takes a credit as a member of the account's trio: as the holder of its arc, through the holder, or from
// the reserve.
func (x *Rationer) serve(ctx context.Context, q TakeRequest) TakeReply {
	if q.Relayed {
		x.counts.served.Add(1)
	}
	request := q.request()
	for range maxServeRounds {
		var outcome ratelimiter.Outcome
		var wait time.Duration
		var arc string
		var sync bool
		x.locked(func() {
			outcome, wait = x.limiter.Take(request, time.Now())
			arc, sync = x.limiter.ArcOf(q.Key), x.limiter.NeedsSync(q.Key)
		})
		switch outcome {
		case ratelimiter.Granted, ratelimiter.Exhausted:
			if sync {
				x.beginCampaign(arc)
			}
			return TakeReply{outcome, wait}
		}
		if arc == "" || !x.campaign(ctx, arc) {
			break
		}
	}
	if r, ok := x.relay(ctx, q); ok {
		return r
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	outcome, wait := x.limiter.TakeReserve(request, time.Now())
	if outcome == ratelimiter.Granted {
		x.counts.reserved.Add(1)
	}
	return TakeReply{outcome, wait}
}

// locked calls f with the lock, which is free again after a panic too.
func (x *Rationer) locked(f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f()
}

// relay passes a request on to the member that holds the arc by this daemon's vote. The daemon that asked may not reach
// it.
func (x *Rationer) relay(ctx context.Context, q TakeRequest) (TakeReply, bool) {
	var holder ratelimiter.Member
	var ok bool
	x.locked(func() { holder, ok = x.limiter.Holder(q.Key, time.Now()) })
	if !ok || q.Relayed {
		return TakeReply{}, false
	}
	q.Relayed = true
	return x.takeFrom(ctx, holder, q)
}

// Leave hands over the arcs that this daemon holds; call it on a planned stop.
func (x *Rationer) Leave(ctx context.Context) {
	var handovers []ratelimiter.Handover
	x.locked(func() { handovers = x.limiter.Leave(time.Now()) })
	for _, h := range handovers {
		x.call(ctx, h.To(), releaseMethod, h.Release(), &Empty{})
	}
}
