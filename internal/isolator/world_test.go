package isolator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pimentorail.example/pimentorail/internal/isolator"
)

const (
	tick = 100 * time.Millisecond
	// lateAfter is how long after the third crash of a request a retry is late.
	lateAfter = 3 * time.Second
)

// world is clients, daemons and replicas in fake time. A request that was at several crashes
// is placed alone, as package selector does.
type world struct {
	*deployment
	rand     *rand.Rand
	daemons  []*isolator.Isolator
	replicas []*replica
	clients  []*client
	names    int
	// condemned counts the sound requests that were refused because of their whole, and held
	// those that were held.
	condemned, held int
	// slowest is the longest time that a sound request took from its first attempt.
	slowest time.Duration
	served  int
}

// replica is an instance of a replica with the requests that it runs.
type replica struct {
	name  string
	calls []*call
}

// call is a request at a replica.
type call struct {
	client *client
	daemon *isolator.Isolator
	mark   isolator.Mark
	alone  bool
	ends   time.Time
}

// client sends one request after the other, each until it is served. A crashing one ends each
// replica that begins to run it.
type client struct {
	crashing bool
	// grows is the text that is added before each retry, and turn its conversation.
	grows string
	turn  conversation
	// name identifies the client, and keeps is set if it sends the same body again once it is
	// served.
	name  string
	keeps bool
	// lasts bounds the time that a replica takes for a request.
	lasts time.Duration
	// every is the interval of a crashing client, zero for random times.
	every time.Duration

	turns   int
	next    time.Time
	begun   time.Time
	running bool
	crashes int
	late    int
	third   time.Time
}

func newWorld(seed uint64, daemons, replicas int) *world {
	w := &world{deployment: newDeployment(), rand: rand.New(rand.NewPCG(seed, seed))}
	for range daemons {
		w.daemons = append(w.daemons, w.start())
	}
	for range replicas {
		w.replicas = append(w.replicas, w.newReplica())
	}
	return w
}

func (w *world) newReplica() *replica {
	w.names++
	return &replica{name: fmt.Sprint("r", w.names)}
}

// runFor lets time pass.
func (w *world) runFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		w.finish(time.Now())
		for _, c := range w.clients {
			if now := time.Now(); !c.running && !now.Before(c.next) {
				w.send(c, now)
			}
		}
	}
}

// finish ends the calls whose time has come.
func (w *world) finish(now time.Time) {
	for n, r := range w.replicas {
		if slices.ContainsFunc(r.calls, func(c *call) bool { return c.client.crashing && !now.Before(c.ends) }) {
			w.end(n)
			continue
		}
		r.calls = slices.DeleteFunc(r.calls, func(c *call) bool {
			if now.Before(c.ends) {
				return false
			}
			c.daemon.Served(c.mark, time.Now())
			w.served++
			c.client.running = false
			w.slowest = max(w.slowest, now.Sub(c.client.begun))
			c.client.advance(now)
			return true
		})
	}
}

// advance begins the next request of a client.
func (c *client) advance(now time.Time) {
	c.begun, c.next = time.Time{}, now
	if !c.keeps {
		c.turns++
		c.turn.said = fmt.Sprint(c.name, " turn ", c.turns, strings.Repeat(" text", c.turns%7))
	}
}

// end ends a replica and lets another one take its place.
func (w *world) end(n int) {
	now := time.Now()
	for _, c := range w.replicas[n].calls {
		c.daemon.BrokeOff("engine", w.replicas[n].name, w.replicas[n].name, c.mark)
		c.client.running = false
		c.client.next = now.Add(time.Duration(100+w.rand.IntN(900)) * time.Millisecond)
		if !c.client.crashing {
			continue
		}
		if c.client.every > 0 {
			c.client.next = now.Truncate(c.client.every).Add(c.client.every)
		}
		c.client.turn.said += c.client.grows
	}
	w.replicas[n] = w.newReplica()
}

// send lets a client's request through a daemon to a replica.
func (w *world) send(c *client, now time.Time) {
	i, m := w.daemons[w.rand.IntN(len(w.daemons))], c.turn.mark()
	if c.begun.IsZero() {
		c.begun = now
	}
	c.next = now.Add(time.Second)
	v := i.Check(m)
	if v.Condemned || v.Held && (v.RetryAfter > 0 || !i.Try(context.Background(), m)) {
		if !c.crashing && v.Condemned {
			w.condemned++
		} else if !c.crashing {
			w.held++
		}
		return
	}
	alone := v.Crashes >= 2
	r := w.place(alone, m)
	if r == nil {
		c.next = now.Add(250 * time.Millisecond)
		return
	}
	lasts := time.Duration(50+w.rand.Int64N(max(1, c.lasts.Milliseconds()))) * time.Millisecond
	if c.crashing {
		lasts = tick
		if c.crashes++; c.crashes == 3 {
			c.third = now
		}
		if c.crashes > 3 && now.Sub(c.third) > lateAfter {
			c.late++
		}
	}
	c.running = true
	r.calls = append(r.calls, &call{client: c, daemon: i, mark: m, alone: alone, ends: now.Add(lasts)})
}

// place returns the replica for a request, or nil if it is to be alone and can't be now.
func (w *world) place(alone bool, m isolator.Mark) *replica {
	var best *replica
	for _, n := range w.rand.Perm(len(w.replicas)) {
		r := w.replicas[n]
		apart := false
		for _, c := range r.calls {
			if alone && c.alone && c.mark.Whole == m.Whole {
				return nil
			}
			apart = apart || c.alone
		}
		if apart {
			continue
		}
		if !alone && len(r.calls) < 8 {
			return r
		}
		if best == nil || len(r.calls) < len(best.calls) {
			best = r
		}
	}
	return best
}

// addSound adds clients that send sound requests.
func (w *world) addSound(n int, prompt string, lasts time.Duration, keeps bool) {
	for range n {
		c := &client{name: fmt.Sprint("client ", len(w.clients)), turn: conversation{prompt: prompt}, lasts: lasts}
		c.advance(time.Now())
		c.keeps = keeps
		w.clients = append(w.clients, c)
	}
}

// addCrashing adds a client whose request crashes replicas.
func (w *world) addCrashing(prompt, grows string, every time.Duration) *client {
	c := &client{name: fmt.Sprint("client ", len(w.clients)), crashing: true, grows: grows, every: every, turn: conversation{prompt: prompt}, next: time.Now()}
	c.turn.said = c.name + " sends a request that ends the replica that begins to run it. "
	w.clients = append(w.clients, c)
	return c
}
