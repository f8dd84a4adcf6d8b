package rationer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pimentorail.example/pimentorail/internal/ratelimiter"
)

// played is how long the randomized test lasts, and warm the time before its traffic.
const (
	played = 40 * time.Second
	warm   = 8 * time.Second
)

// TestNoAccountRunsMoreThanItsLimit kills, freezes, cuts off and restarts daemons, one after the other and at
// once, takes the store away, and loses and delays messages. It guards against a limit that a daemon
// forgets at its end, that two daemons apply at the same time, or one that wakes with an old permission. Each second seed
// has no tolerance, so that what a holder lets run twice is not hidden in it.
func TestNoAccountRunsMoreThanItsLimit(t *testing.T) {
	seeds := 2
	if v, err := strconv.Atoi(os.Getenv("LIMIT_SEEDS")); err == nil {
		seeds = v
	}
	first := 1
	if v, err := strconv.Atoi(os.Getenv("LIMIT_SEED")); err == nil {
		first = v
	}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFaults(t, uint64(seed)) })
		})
	}
}

func playFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	ctx, cancel := context.WithCancel(context.Background())
	n := []int{3, 4, 5, 8, 20, 40, 100}[random.IntN(7)]
	tolerance := usersTolerance()
	if seed%2 == 0 {
		tolerance = ratelimiter.NewTolerance(window, 0, 0)
	}
	w := newNetwork(ctx, seed, n, tolerance)
	for _, x := range w.nodes {
		x.start()
	}
	time.Sleep(warm)
	began := time.Now()
	var accounts []*account
	for i := range 8 {
		rate := []float64{0.5, 5, 20, 100}[i%4]
		a := newAccount(fmt.Sprintf("account-%d-%d", seed, i), rate, max(2, rate*[]float64{0.5, 1, 3, 10}[random.IntN(4)]))
		accounts = append(accounts, a)
		w.send(a, rate*(1+3*random.Float64()), seed*100+uint64(i))
	}
	m := &mischief{network: w, random: random, accounts: accounts, hardest: seed%3 == 0}
	for time.Since(began) < played {
		m.step()
	}
	ended := time.Now()
	cancel()
	w.calls.Wait()
	for _, x := range w.nodes {
		x.kill()
	}
	time.Sleep(time.Second)
	w.report(t, accounts, began, ended)
}

// mischief disturbs a network.
type mischief struct {
	network *network
	random  *rand.Rand
	// accounts are those at whose trios most faults aim.
	accounts []*account
	// hardest lets faults come in quick succession.
	hardest bool
}

// later changes the network after a time.
type later struct {
	network *network
	after   time.Duration
	do      func()
}

func (l *later) run() {
	defer l.network.calls.Done()
	time.Sleep(l.after)
	l.do()
}

func (m *mischief) after(d time.Duration, do func()) {
	m.network.calls.Add(1)
	go (&later{m.network, d, do}).run()
}

func (m *mischief) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

// restart starts a node's process some time later.
func (m *mischief) restart(x *node) {
	m.after(m.duration(300*time.Millisecond, 4*time.Second), x.start)
}

// killAfter kills a node's process after a time, and starts another one later.
func (m *mischief) killAfter(x *node, d time.Duration) {
	m.after(d, x.kill)
	m.after(d+m.duration(300*time.Millisecond, 4*time.Second), x.start)
}

func (m *mischief) cut(x, y *node, d time.Duration) {
	m.network.setCut(x.index, y.index, true)
	m.after(d, func() { m.network.setCut(x.index, y.index, false) })
}

func (m *mischief) freeze(x *node, d time.Duration) {
	x.setFrozen(true)
	m.after(d, func() { x.setFrozen(false) })
}

// aim disturbs the members that hold an account's arc, or would follow.
func (m *mischief) aim() {
	w := m.network
	a := m.accounts[m.random.IntN(len(m.accounts))]
	var members []ratelimiter.Member
	byName := map[string]*node{}
	for _, x := range w.nodes {
		member := ratelimiter.Member{Name: fmt.Sprintf("vm-%d", x.index), Address: x.address()}
		members, byName[member.Name] = append(members, member), x
	}
	var trio []*node
	for _, member := range ratelimiter.NewRing(members...).Trio(ratelimiter.KeyOf(a.name)) {
		trio = append(trio, byName[member.Name])
	}
	owner, second, third := trio[0], trio[1], trio[2]
	switch m.random.IntN(7) {
	case 0: // The holder is cut off from those that vote, and not from those that ask.
		d := m.duration(1500*time.Millisecond, 8*time.Second)
		m.cut(owner, second, d)
		m.cut(owner, third, d)
	case 1:
		m.freeze(owner, m.duration(800*time.Millisecond, 5*time.Second))
	case 2: // One after the other.
		owner.kill()
		m.restart(owner)
		m.killAfter(second, m.duration(time.Second, 2*time.Second))
	case 3: // The holder votes with the third member, and both others are killed or cut off then.
		m.cut(owner, second, 3*time.Second)
		m.killAfter(owner, m.duration(500*time.Millisecond, 2500*time.Millisecond))
	case 4:
		owner.kill()
		second.kill()
		m.restart(owner)
		m.restart(second)
	case 5: // The follower is frozen, and wakes when the holder is cut off.
		m.freeze(second, m.duration(500*time.Millisecond, 3*time.Second))
		m.after(m.duration(400*time.Millisecond, 2*time.Second), func() { m.cut(owner, third, 4*time.Second) })
	case 6:
		for range 3 {
			owner.kill()
			time.Sleep(m.duration(300*time.Millisecond, 900*time.Millisecond))
			owner.start()
			time.Sleep(m.duration(50*time.Millisecond, 600*time.Millisecond))
		}
	}
}

func (m *mischief) pause() {
	pause := m.duration(100*time.Millisecond, 5*time.Second)
	if m.hardest {
		pause /= 5
	}
	time.Sleep(pause)
}

func (m *mischief) step() {
	defer m.pause()
	if m.random.IntN(3) > 0 {
		m.aim()
		return
	}
	w := m.network
	x := w.nodes[m.random.IntN(len(w.nodes))]
	switch m.random.IntN(9) {
	case 0, 1:
		x.kill()
		m.restart(x)
	case 2:
		m.freeze(x, m.duration(200*time.Millisecond, 6*time.Second))
	case 3: // A daemon loses its links to some or all others.
		some := m.random.IntN(2) == 0
		for _, y := range w.nodes {
			if y != x && (!some || m.random.IntN(2) == 0) {
				m.cut(x, y, m.duration(time.Second, 8*time.Second))
			}
		}
	case 4: // A part of all daemons is killed at once.
		for _, y := range w.nodes {
			if m.random.IntN(3) == 0 {
				y.kill()
				m.restart(y)
			}
		}
	case 5: // Planned stops.
		if p := x.running(); p != nil && p.awake() {
			p.rationer.Leave(context.Background())
			m.after(m.duration(50*time.Millisecond, time.Second), x.kill)
			m.after(m.duration(1500*time.Millisecond, 3*time.Second), x.start)
		}
	case 6:
		w.mu.Lock()
		w.storeAway = !w.storeAway
		w.mu.Unlock()
	case 7:
		w.mu.Lock()
		w.lossy = !w.lossy
		w.mu.Unlock()
	case 8: // The members fall apart in two parts.
		for _, y := range w.nodes {
			for _, z := range w.nodes {
				if y.index%2 == 0 && z.index%2 == 1 {
					w.setCut(y.index, z.index, true)
				}
			}
		}
		m.after(m.duration(500*time.Millisecond, 6*time.Second), func() {
			for _, y := range w.nodes {
				for _, z := range w.nodes {
					w.setCut(y.index, z.index, false)
				}
			}
		})
	}
}

// TestNothingWithinTheLimitIsRefused guards against credits that one daemon holds while another one needs them:
// clients that reach daemons unevenly, and each most of them seldom.
func TestNothingWithinTheLimitIsRefused(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 83} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				w := newNetwork(ctx, uint64(n), n, usersTolerance())
				for _, x := range w.nodes {
					x.start()
				}
				time.Sleep(warm)
				var accounts []*account
				for i, rate := range []float64{0.5, 2, 5, 20, 120} {
					a := newAccount(fmt.Sprintf("account-%d", i), rate, max(6, 2*rate))
					accounts = append(accounts, a)
					// The bucket of a limit at twice the rate with a deep burst is practically never empty.
					w.send(a, rate/2, uint64(100*n+i))
				}
				time.Sleep(30 * time.Second)
				cancel()
				w.calls.Wait()
				for _, a := range accounts {
					if a.outcomes[ratelimiter.Granted] == 0 || a.outcomes[ratelimiter.Unknown] > 0 || a.outcomes[ratelimiter.Exhausted] > 0 {
						t.Errorf("%s, limit %v: outcomes %v", a.name, a.limit, a.outcomes)
					}
				}
			})
		})
	}
}
