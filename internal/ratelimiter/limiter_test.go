package ratelimiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/ratelimiter"
)

const window = 5 * time.Second

var tolerance = ratelimiter.NewTolerance(window, 0.1, 20)

// trio is the members of one arc, whose messages arrive at once. Index 0 is the arc's own member.
type trio struct {
	t        testing.TB
	now      time.Time
	members  []ratelimiter.Member
	limiters []*ratelimiter.Limiter
	starts   int
	// away are the members that nobody reaches, and cut the pairs that don't reach each other, by the sum of their
	// indices.
	away, cut map[int]bool
	key       uint64
	arc       string
}

func newTrio(t testing.TB) *trio {
	x := &trio{t: t, now: time.Now(), away: map[int]bool{}, cut: map[int]bool{}, key: ratelimiter.KeyOf("account")}
	var all []ratelimiter.Member
	for i := range 3 {
		all = append(all, ratelimiter.Member{Name: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("a%d", i)})
	}
	x.members = ratelimiter.NewRing(all...).Trio(x.key)
	x.arc = x.members[0].Name
	x.limiters = make([]*ratelimiter.Limiter, 3)
	for i := range x.members {
		x.start(i)
	}
	x.pass(time.Minute)
	return x
}

// start starts a process of a member, in place of the one before.
func (x *trio) start(i int) {
	x.starts++
	x.limiters[i] = ratelimiter.New(x.members[i], fmt.Sprintf("p%d", x.starts), tolerance, x.now)
	x.limiters[i].SetRing(ratelimiter.NewRing(x.members...), x.now)
	x.away[i] = false
}

func (x *trio) pass(d time.Duration) { x.now = x.now.Add(d) }

// elect lets a member try to hold the arc, or to renew its lease.
func (x *trio) elect(i int) bool {
	c := x.limiters[i].Candidate(x.arc, x.now)
	if c == nil {
		return false
	}
	for {
		voter, ballot, ok := c.Next(x.now)
		if !ok {
			return c.Elect(x.now)
		}
		var reply *ratelimiter.Vote
		for k, m := range x.members {
			if m == voter && !x.away[k] && !x.away[i] && !x.cut[i+k] {
				v := x.limiters[k].Vote(ballot, x.now)
				reply = &v
			}
		}
		c.Receive(voter, reply, x.now)
	}
}

// take takes as many credits as there are, and syncs where that is needed.
func (x *trio) take(i int, l ratelimiter.Limit) (n int) {
	for {
		switch outcome, _ := x.limiters[i].Take(ratelimiter.Request{Key: x.key, Limit: l, Version: 1}, x.now); outcome {
		case ratelimiter.Granted:
			n++
		case ratelimiter.Unsynced:
			if !x.elect(i) {
				return n
			}
		default:
			return n
		}
	}
}

// TestABurstIsGivenOnce guards against a holder that begins anew and gives the burst again, whoever was killed.
func TestABurstIsGivenOnce(t *testing.T) {
	l := ratelimiter.NewLimit(10, 30)
	for name, lose := range map[string]func(x *trio) (next int){
		"the owner is killed, and is back": func(x *trio) int { x.start(0); return 0 },
		"the owner is killed, and the next one follows": func(x *trio) int {
			x.away[0] = true
			x.pass(ratelimiter.Lease)
			return 1
		},
		"the owner and the next one are killed": func(x *trio) int {
			x.start(0)
			x.start(1)
			return 0
		},
		"all are killed": func(x *trio) int {
			for i := range 3 {
				x.start(i)
			}
			return 0
		},
		"the owner lost its voter, and is killed": func(x *trio) int {
			x.away[1] = true
			x.elect(0)
			x.take(0, l)
			x.away[1] = false
			x.start(0)
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newTrio(t)
			if !x.elect(0) || x.take(0, l) != 30 {
				t.Fatal("the owner does not let the burst run")
			}
			before := x.now
			next := lose(x)
			x.elect(next)
			n, most := x.take(next, l), int(1+10*x.now.Sub(before).Seconds())
			if n > most {
				t.Errorf("%d more requests ran in %v, at most %d", n, x.now.Sub(before), most)
			}
			x.pass(2 * time.Second)
			if !x.elect(next) || x.take(next, l) < 15 {
				t.Error("the next holder does not let the rate run")
			}
		})
	}
}

// TestWhatAHolderHandsOverIsExact guards against a planned stop that costs an account its credits.
func TestWhatAHolderHandsOverIsExact(t *testing.T) {
	is := is.New(t)
	x := newTrio(t)
	l := ratelimiter.NewLimit(1, 30)
	is.True(x.elect(0))
	outcome, _ := x.limiters[0].Take(ratelimiter.Request{Key: x.key, Limit: l}, x.now)
	is.Equal(outcome, ratelimiter.Granted)
	for _, h := range x.limiters[0].Leave(x.now) {
		is.Equal(h.To(), x.members[1])
		x.limiters[1].Accept(h.Release(), x.now)
	}
	is.True(!x.elect(0)) // It has left.
	x.away[0] = true
	is.True(x.elect(1)) // At once.
	is.Equal(x.take(1, l), 29)
	x.start(0)
	is.True(x.elect(0))
	is.Equal(x.take(0, l), 0)
	is.Equal(x.take(1, l), 0)
	is.True(!x.elect(1)) // Its owner holds the arc.
}

// TestAFrozenHolderLetsNothingRun guards against a daemon that wakes and goes on with a permission that has ended.
func TestAFrozenHolderLetsNothingRun(t *testing.T) {
	is := is.New(t)
	x := newTrio(t)
	l := ratelimiter.NewLimit(10, 30)
	is.True(x.elect(0))
	x.pass(ratelimiter.Lease)
	is.Equal(x.take(0, l), 0)
	x.away[0] = true
	is.True(x.elect(1))
	is.Equal(x.take(0, l), 0)
	x.away[0] = false
	is.True(x.elect(0)) // The one that stands in hands over.
	is.Equal(x.take(1, l), 0)
}

// TestAVoterThatBeginsAnewHasNoVote guards against two holders because a voter forgot its vote.
func TestAVoterThatBeginsAnewHasNoVote(t *testing.T) {
	is := is.New(t)
	x := newTrio(t)
	is.True(x.elect(0)) // With the vote of the next one,
	x.start(1)          // which forgets it.
	x.away[0] = true    // They do not reach each other.
	is.True(!x.elect(1))
	x.away[0], x.away[1] = false, true
	x.pass(500 * time.Millisecond)
	is.True(x.elect(0)) // With the vote of the third one,
	x.start(2)          // which forgets it.
	x.away[0], x.away[1] = true, false
	x.pass(600 * time.Millisecond)
	is.True(!x.elect(1))
}

// TestAtMostOneMemberHoldsAnArc draws kills, cuts and pauses: no two members hold an arc, and what all let run together
// stays within the limit, plus one request for each process that knows nothing and follows.
func TestAtMostOneMemberHoldsAnArc(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newTrio(t)
		l := ratelimiter.NewLimit(rapid.Float64Range(0.5, 50).Draw(rt, "rate"), rapid.Float64Range(1, 100).Draw(rt, "burst"))
		began, ran, takeovers := x.now, 0, 0
		last := -1
		for range 40 {
			i := rapid.IntRange(0, 2).Draw(rt, "member")
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				x.start(i)
			case 1:
				x.away[i] = !x.away[i]
			case 2:
				x.cut[1+i] = !x.cut[1+i]
			case 3: // A planned stop, whose message may be lost.
				for _, h := range x.limiters[i].Leave(x.now) {
					for k, m := range x.members {
						if m == h.To() && !x.away[i] && !x.away[k] && !x.cut[i+k] {
							x.limiters[k].Accept(h.Release(), x.now)
						}
					}
				}
				x.start(i)
			default:
				x.pass(time.Duration(rapid.IntRange(0, 1200).Draw(rt, "pause")) * time.Millisecond)
			}
			holders := 0
			for i := range 2 {
				x.elect(i)
			}
			for i := range 3 {
				n := x.take(i, l)
				ran += n
				if outcome, _ := x.limiters[i].Take(ratelimiter.Request{Key: x.key, Limit: l, Version: 1}, x.now); outcome == ratelimiter.Exhausted {
					holders++
					if n > 0 && last != x.starts*3+i {
						last = x.starts*3 + i
						takeovers++
					}
				}
			}
			if holders > 1 {
				rt.Fatalf("%d members hold the arc", holders)
			}
			if most := l.Within(x.now.Sub(began)) + float64(takeovers); float64(ran) > most+1e-6 {
				rt.Fatalf("%d requests ran in %v with limit %v and %d takeovers", ran, x.now.Sub(began), l, takeovers)
			}
		}
	})
}

// lone returns the limiter of a daemon without peers.
func lone(now time.Time) *ratelimiter.Limiter {
	x := ratelimiter.New(ratelimiter.Member{Name: "m"}, "p", tolerance, now)
	x.SetRing(ratelimiter.NewRing(ratelimiter.Member{Name: "m"}), now)
	return x
}

func takeAll(x *ratelimiter.Limiter, l ratelimiter.Limit, version uint64, now time.Time) (n int) {
	for {
		if outcome, _ := x.Take(ratelimiter.Request{Key: 1, Limit: l, Version: version}, now); outcome != ratelimiter.Granted {
			return n
		}
		n++
	}
}

// TestWindowsSlide guards against a bucket that is refilled at a boundary, which lets twice its size through around it.
func TestWindowsSlide(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Now()
		x := lone(start)
		l := ratelimiter.NewLimit(rapid.Float64Range(0.2, 40).Draw(rt, "rate"), rapid.Float64Range(0, 60).Draw(rt, "burst"))
		now := start.Add(time.Hour)
		type taken struct {
			at time.Time
			n  int
		}
		var all []taken
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
			all = append(all, taken{now, takeAll(x, l, 1, now)})
			sum := 0
			for _, k := range all {
				if now.Sub(k.at) <= window {
					sum += k.n
				}
			}
			if float64(sum) > l.Within(window)+1e-6 {
				rt.Fatalf("%d requests in %v with limit %v", sum, window, l)
			}
		}
	})
}

// TestALoweredBurstIsGone guards against an old burst that outlives its limit, and against one that is given again with each
// change.
func TestALoweredBurstIsGone(t *testing.T) {
	is := is.New(t)
	now := time.Now().Add(time.Hour)
	x := lone(now.Add(-time.Hour))
	high, low := ratelimiter.NewLimit(40, 40), ratelimiter.NewLimit(4, 4)
	outcome, _ := x.Take(ratelimiter.Request{Key: 1, Limit: high, Version: 1}, now)
	is.Equal(outcome, ratelimiter.Granted)
	is.Equal(takeAll(x, low, 2, now), 4)
	is.Equal(takeAll(x, high, 1, now), 0) // A daemon that does not know the newer version does not lift the limit.
	is.Equal(takeAll(x, high, 3, now.Add(10*time.Second)), 40)
	for version := uint64(4); version < 20; version += 2 {
		is.Equal(takeAll(x, low, version, now.Add(10*time.Second)), 0)
		is.Equal(takeAll(x, high, version+1, now.Add(10*time.Second)), 0)
	}
}

// TestRefusedClientsComeBackOneAfterTheOther guards against a time to come back that is the same for all, or at which there
// is no credit.
func TestRefusedClientsComeBackOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	now := time.Now().Add(time.Hour)
	x := lone(now.Add(-time.Hour))
	l := ratelimiter.NewLimit(10, 5)
	is.Equal(takeAll(x, l, 1, now), 5)
	last := 100 * time.Millisecond // takeAll was refused as well.
	for range 40 {
		outcome, wait := x.Take(ratelimiter.Request{Key: 1, Limit: l, Version: 1}, now)
		is.Equal(outcome, ratelimiter.Exhausted)
		is.True(wait-last > 99*time.Millisecond && wait-last < 101*time.Millisecond)
		last = wait
	}
	at := now
	for range 20 {
		at = at.Add(100*time.Millisecond + time.Microsecond)
		outcome, _ := x.Take(ratelimiter.Request{Key: 1, Limit: l, Version: 1}, at)
		is.Equal(outcome, ratelimiter.Granted)
	}
}

// TestRingsAgree guards against members that hold different trios responsible for an account.
func TestRingsAgree(t *testing.T) {
	is := is.New(t)
	var members []ratelimiter.Member
	for i := range 40 {
		members = append(members, ratelimiter.Member{Name: fmt.Sprintf("m%d", i), Address: "a"})
	}
	r := ratelimiter.NewRing(members...)
	less := ratelimiter.NewRing(members[1:]...)
	moved := 0
	for i := range 2000 {
		key := ratelimiter.KeyOf(fmt.Sprint("account-", i))
		is.Equal(r.Trio(key), ratelimiter.NewRing(append(members[20:], members[:20]...)...).Trio(key))
		is.Equal(len(r.Trio(key)), 3)
		if less.Trio(key)[0] != r.Trio(key)[0] {
			moved++
			is.Equal(less.Trio(key)[0], r.Trio(key)[1]) // The next member follows.
		}
	}
	is.True(moved > 0 && moved < 300)
	is.Equal((*ratelimiter.Ring)(nil).Trio(1), nil)
}

// BenchmarkTake measures a decision of a daemon that holds the arc, among the accounts of the two-year size.
func BenchmarkTake(b *testing.B) {
	now := time.Now().Add(time.Hour)
	x := lone(now.Add(-time.Hour))
	l := ratelimiter.NewLimit(1e8, 1e9)
	for i := range 40_000 {
		x.Take(ratelimiter.Request{Key: uint64(i), Limit: l, Version: 1}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		x.Take(ratelimiter.Request{Key: 17, Limit: l, Version: 1}, now)
	}
}
