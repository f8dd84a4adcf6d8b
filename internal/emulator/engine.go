package emulator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	reportLag      = time.Second
	keptStreams    = 4096
	idleStep       = time.Millisecond
	defaultFactor  = 1
	maxEngineQueue = 4096
)

// EngineOptions sizes an engine; zero values take defaults.
type EngineOptions struct {
	// Batch is the most requests that decode together.
	Batch int
	// Gap is the time between tokens of a lone request.
	Gap time.Duration
	// Prefill is the time to compute one uncached prompt token.
	Prefill time.Duration
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// IgnoreFence makes the engine take orders with an old fencing number.
	IgnoreFence bool
}

// EngineFaults says how an engine misbehaves.
type EngineFaults struct {
	// Factor slows every step; zero means one.
	Factor float64 `json:"factor"`
	// CutAfter drops each connection after that many chunks; zero drops none.
	CutAfter int `json:"cut-after"`
	// Refuse answers every new request with status 503.
	Refuse bool `json:"refuse"`
	// Hang accepts requests and never computes.
	Hang bool `json:"hang"`
	// LoseEvents drops every second cache event.
	LoseEvents bool `json:"lose-events"`
}

// Engine is a model engine with continuous batching.
type Engine struct {
	mu      sync.Mutex
	o       EngineOptions
	faults  EngineFaults
	streams map[string]*stream
	history []string
	waiting []*stream
	running []*stream
	cache   *prefixCache
	held    map[string]int
	kept    map[string][]prefixNode
	fence   uint64
	orders  []Order
	state   EngineState
	counts  EngineCounts
	report  Load
	next    Load
	at      time.Time
	arrived int
	tomb    *tomb.Tomb
}

// EngineCounts is an engine's account of its work, for oracles.
type EngineCounts struct {
	Requests    int `json:"requests"`
	Prefilled   int `json:"prefilled-tokens"`
	Cached      int `json:"cached-tokens"`
	Decoded     int `json:"decoded-tokens"`
	Cancelled   int `json:"cancelled"`
	BusySteps   int `json:"busy-steps"`
	BatchTokens int `json:"batch-tokens"`
}

// Load is an engine's load report; it lags by a second.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Held    int `json:"held"`
}

// NewEngine starts an engine that runs until the context ends.
func NewEngine(ctx context.Context, o EngineOptions) *Engine {
	o.Batch = cmp.Or(o.Batch, 8)
	o.Gap = cmp.Or(o.Gap, 2*time.Millisecond)
	o.Prefill = cmp.Or(o.Prefill, 20*time.Microsecond)
	o.CacheTokens = cmp.Or(o.CacheTokens, 100_000)
	e := &Engine{
		o: o, streams: map[string]*stream{}, held: map[string]int{}, kept: map[string][]prefixNode{},
		cache: newPrefixCache(o.CacheTokens), state: EngineState{Role: "mixed"},
	}
	e.tomb, _ = tomb.WithContext(ctx)
	e.tomb.Go(e.run)
	return e
}

// Wait returns when the engine has stopped.
func (e *Engine) Wait() error { return e.tomb.Wait() }

func (e *Engine) run() error {
	for e.tomb.Alive() {
		pause := e.step()
		select {
		case <-time.After(pause):
		case <-e.tomb.Dying():
		}
	}
	return nil
}

// step admits waiting requests, decodes one token for each running one and returns its duration.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lagReport()
	if e.faults.Hang {
		return idleStep
	}
	uncached := e.admit()
	if len(e.running) == 0 {
		return idleStep
	}
	e.counts.BusySteps++
	e.counts.BatchTokens += len(e.running)
	for _, s := range e.running {
		s.decode()
		e.counts.Decoded++
		if s.done() {
			e.cache.insert(append(s.nodes, s.answerNode()))
		}
	}
	e.running = slices.DeleteFunc(e.running, (*stream).done)
	factor := cmp.Or(e.faults.Factor, defaultFactor)
	load := 1 + 0.5*float64(len(e.running))/float64(e.o.Batch)
	span := float64(e.o.Gap)*load + float64(e.o.Prefill)*float64(uncached)
	return time.Duration(factor * span)
}

// admit moves waiting requests into the batch by priority and returns their uncached tokens.
func (e *Engine) admit() int {
	slices.SortStableFunc(e.waiting, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
	})
	uncached := 0
	for len(e.running) < e.o.Batch && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.done() {
			continue
		}
		total, cached := e.cache.lookup(s.nodes)
		s.usage = Usage{PromptTokens: total, CachedTokens: cached}
		uncached += total - cached
		e.counts.Prefilled += total - cached
		e.counts.Cached += cached
		if s.program != "" {
			e.held[s.program] = total
			e.kept[s.program] = s.nodes
		}
		e.running = append(e.running, s)
	}
	return uncached
}

func (e *Engine) lagReport() {
	if now := time.Now(); now.Sub(e.at) >= reportLag {
		e.at = now
		e.report = e.next
		e.next = Load{Running: len(e.running), Waiting: len(e.waiting), Held: len(e.held)}
	}
}

// submit adds a request, or finds the one of the same id.
func (e *Engine) submit(s *stream) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.streams[s.id]; ok && !old.cancelled {
		return old, true
	}
	if e.faults.Refuse || len(e.waiting) >= maxEngineQueue {
		return nil, false
	}
	e.arrived++
	s.arrival = e.arrived
	e.counts.Requests++
	e.streams[s.id] = s
	e.history = append(e.history, s.id)
	if len(e.history) > keptStreams {
		e.forget(e.history[0])
		e.history = e.history[1:]
	}
	e.waiting = append(e.waiting, s)
	return s, true
}

func (e *Engine) forget(id string) {
	if s := e.streams[id]; s != nil {
		s.cancel()
		delete(e.streams, id)
	}
}

func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if ok && !s.done() {
		s.cancel()
		e.counts.Cancelled++
		e.running = slices.DeleteFunc(e.running, (*stream).done)
	}
	return ok
}

func (e *Engine) find(id string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	return s, ok
}

func (e *Engine) chunks(s *stream, from int) ([]Chunk, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.after(from)
}

// Held returns the programs whose memory the engine holds, in order.
func (e *Engine) Held() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	programs := make([]string, 0, len(e.held))
	for p := range e.held {
		programs = append(programs, p)
	}
	slices.Sort(programs)
	return programs
}

// Release drops the memory held for a program.
func (e *Engine) Release(program string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, program)
	delete(e.kept, program)
}

// Counts returns the engine's account of its work.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// SetFaults switches the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}
