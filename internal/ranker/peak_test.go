package ranker_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/prioritizer"
	"pimentorail.example/pimentorail/internal/ranker"
)

// The load peak: five zones ask for more than their engines can serve, for four seconds, with
// a calm time before and after.
const (
	peakZones      = 5
	enginesPerZone = 5
	engineSlots    = 8
	engineMemory   = 220_000
	sharedParts    = 16
	sharedTokens   = 12_600
	turnTokens     = 1_500
	outputTokens   = 250
	replayLength   = 12 * time.Second
	peakBegins     = 2 * time.Second
	peakEnds       = 6 * time.Second
	calmRate       = 0.05 // programs a millisecond
	peakRate       = 0.2
	clientTimeout  = 3 * time.Second
	millisPerToken = 0.96
	tokensPerMilli = 256.0
	finishFactor   = 1.5 // of a program's time on idle engines is the time that it has
)

// program is one agent program: turns one after the other, each with all that was said
// before.
type program struct {
	zone, turns, done int
	prefix            string
	finishBy          time.Duration
	tokens            int
	id                string
}

// turnAt is one turn at an engine.
type turnAt struct {
	program  *program
	work     ranker.Work
	view     *ranker.View
	urgency  prioritizer.Urgency
	arrived  time.Duration
	produced float64
}

// engine is a model engine: the requests in its batch produce tokens together, and none
// does while a prompt is read.
type engine struct {
	waiting, running []*turnAt
	cache            map[string]ranker.Part
	order            []string
	reading          float64
}

// peak is a replay of the load with the given costs, with or without urgencies.
type peak struct {
	costs    ranker.Costs
	urgent   bool
	random   *rand.Rand
	engines  []*engine
	views    [][]*ranker.View
	now      time.Duration
	inTime   int
	programs int
}

func newPeak(seed uint64, c ranker.Costs, urgent bool) *peak {
	x := &peak{costs: c, urgent: urgent, random: rand.New(rand.NewPCG(seed, 1))}
	for range peakZones * enginesPerZone {
		x.engines = append(x.engines, &engine{cache: map[string]ranker.Part{}})
	}
	for z := range peakZones {
		var list []*ranker.View
		for i := range x.engines {
			list = append(list, &ranker.View{ID: fmt.Sprint("e", i), Slots: engineSlots, CacheTokens: engineMemory, Local: i/enginesPerZone == z})
		}
		x.views = append(x.views, list)
	}
	return x
}

// replay plays the load in steps of a millisecond. It returns the number of programs that end
// before their finish time, and the number of all.
func (x *peak) replay() (inTime, programs int) {
	for ; x.now < replayLength; x.now += time.Millisecond {
		rate := calmRate
		if x.now >= peakBegins && x.now < peakEnds {
			rate = peakRate
		}
		if x.random.Float64() < rate {
			x.begin()
		}
		for _, e := range x.engines {
			x.step(e)
		}
	}
	return x.inTime, x.programs
}

// begin starts a program.
func (x *peak) begin() {
	x.programs++
	p := &program{zone: x.random.IntN(peakZones), turns: 2 + x.random.IntN(6), prefix: fmt.Sprint("shared", x.random.IntN(sharedParts)), id: fmt.Sprint("p", x.programs)}
	idle := float64(p.turns) * (outputTokens*millisPerToken + turnTokens/tokensPerMilli)
	p.finishBy = x.now + time.Duration((finishFactor*idle+250)*float64(time.Millisecond))
	x.send(p)
}

// send places the next turn of a program.
func (x *peak) send(p *program) {
	p.tokens += turnTokens
	w := ranker.Work{Parts: []ranker.Part{{ID: p.prefix, Tokens: sharedTokens}, {ID: p.id, Tokens: p.tokens}}, Prompt: sharedTokens + p.tokens, Output: outputTokens, Model: true, Bytes: p.tokens}
	views := x.views[p.zone]
	i := x.costs.Choose(views, w, x.now, x.random.IntN)
	views[i].Begin(w, x.now)
	t := &turnAt{program: p, work: w, view: views[i], arrived: x.now}
	if x.urgent {
		t.urgency = prioritizer.Of(p.finishBy - x.now)
	}
	x.engines[i].waiting = append(x.engines[i].waiting, t)
}

// step runs an engine for a millisecond.
func (x *peak) step(e *engine) {
	e.waiting = slices.DeleteFunc(e.waiting, func(t *turnAt) bool {
		gone := x.now-t.arrived > clientTimeout
		if gone {
			t.view.End()
		}
		return gone
	})
	slices.SortStableFunc(e.waiting, func(a, b *turnAt) int { return cmp.Compare(a.urgency, b.urgency) })
	for len(e.running) < engineSlots && len(e.waiting) > 0 {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, t)
		e.reading += float64(t.work.Prompt-e.read(t.work.Parts)) / tokensPerMilli
		t.view.ReportLoad(ranker.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: engineSlots, Slowness: 1}, x.now)
	}
	if e.reading >= 1 {
		e.reading--
		return
	}
	e.running = slices.DeleteFunc(e.running, func(t *turnAt) bool {
		t.produced += 1 / millisPerToken
		if t.produced < outputTokens {
			return false
		}
		t.view.End()
		x.end(t.program)
		return true
	})
}

// end continues a program after a turn.
func (x *peak) end(p *program) {
	p.tokens += outputTokens
	if p.done++; p.done < p.turns {
		x.send(p)
		return
	}
	if x.now <= p.finishBy {
		x.inTime++
	}
}

// read returns the number of cached tokens of a prompt and caches all of it; the parts that
// were used least recently yield.
func (e *engine) read(parts []ranker.Part) int {
	cached, known := 0, true
	for _, p := range parts {
		old := e.cache[p.ID]
		if known = known && old.Tokens > 0; known {
			cached += min(old.Tokens, p.Tokens)
		}
		if i := slices.Index(e.order, p.ID); i >= 0 {
			e.order = slices.Delete(e.order, i, i+1)
		}
		e.order, e.cache[p.ID] = append(e.order, p.ID), p
	}
	for size := e.size(); size > engineMemory; size = e.size() {
		delete(e.cache, e.order[0])
		e.order = e.order[1:]
	}
	return cached
}

func (e *engine) size() int {
	n := 0
	for _, p := range e.cache {
		n += p.Tokens
	}
	return n
}

// TestALoadPeakIsServedInTime guards against an order of work in which nearly all programs of
// a load peak are served and nearly all too late. The weight of a prompt's reading time under
// load and the urgency of programs each serve more in time than without them.
func TestALoadPeakIsServedInTime(t *testing.T) {
	is := is.New(t)
	plain := ranker.DefaultCosts
	plain.Interference = 0
	var before, weighed, both, all int
	for seed := range uint64(4) {
		n, _ := newPeak(seed, plain, false).replay()
		before += n
		n, _ = newPeak(seed, ranker.DefaultCosts, false).replay()
		weighed += n
		n, programs := newPeak(seed, ranker.DefaultCosts, true).replay()
		both += n
		all += programs
	}
	t.Logf("in time of %d programs: %d by arrival, %d with the weight of reading, %d by urgency too", all, before, weighed, both)
	is.True(weighed > before)
	is.True(both > weighed)
}
