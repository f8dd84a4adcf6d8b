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
	reportInterval = time.Second
	maxStreams     = 4096
	idleInterval   = time.Millisecond
	defaultFactor  = 1
	maxEngineQueue = 4096
)

// EngineOptions configures an Engine. Zero values select defaults.
type EngineOptions struct {
	// MaxBatch is the maximum number of requests that decode together.
	MaxBatch int
	// TokenGap is the time between tokens of a request that decodes alone.
	TokenGap time.Duration
	// PrefillPerToken is the time to compute one uncached prompt token.
	PrefillPerToken time.Duration
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// IgnoreFence makes the engine accept orders with an outdated fencing number.
	IgnoreFence bool
}

// EngineFaults selects the faults that an engine injects.
type EngineFaults struct {
	// Factor multiplies the duration of every step; zero means one.
	Factor float64 `json:"factor"`
	// CutAfter closes each connection after that many chunks; zero closes none.
	CutAfter int `json:"cut-after"`
	// Refuse rejects every new request with status 503.
	Refuse bool `json:"refuse"`
	// Hang accepts requests and never processes them.
	Hang bool `json:"hang"`
	// LoseEvents drops every second cache event.
	LoseEvents bool `json:"lose-events"`
}

// Engine is a fake model engine with continuous batching.
type Engine struct {
	mu         sync.Mutex
	options    EngineOptions
	faults     EngineFaults
	streams    map[string]*stream
	streamIDs  []string
	waiting    []*stream
	running    []*stream
	cache      *prefixCache
	heldTokens map[string]int
	heldNodes  map[string][]prefixNode
	fence      uint64
	orders     []Order
	state      EngineState
	counts     EngineCounts
	report     Load
	nextReport Load
	reportedAt time.Time
	arrivals   int
	tomb       *tomb.Tomb
}

// EngineCounts counts the work of an engine. Tests check against it.
type EngineCounts struct {
	Requests    int `json:"requests"`
	Prefilled   int `json:"prefilled-tokens"`
	Cached      int `json:"cached-tokens"`
	Decoded     int `json:"decoded-tokens"`
	Cancelled   int `json:"cancelled"`
	BusySteps   int `json:"busy-steps"`
	BatchTokens int `json:"batch-tokens"`
}

// Load is an engine's load report. The engine takes one every second and serves the one
// before the latest.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Held    int `json:"held"`
}

// NewEngine starts an engine that runs until ctx is done.
func NewEngine(ctx context.Context, o EngineOptions) *Engine {
	o.MaxBatch = cmp.Or(o.MaxBatch, 8)
	o.TokenGap = cmp.Or(o.TokenGap, 2*time.Millisecond)
	o.PrefillPerToken = cmp.Or(o.PrefillPerToken, 20*time.Microsecond)
	o.CacheTokens = cmp.Or(o.CacheTokens, 100_000)
	e := &Engine{
		options: o, streams: map[string]*stream{}, heldTokens: map[string]int{}, heldNodes: map[string][]prefixNode{},
		cache: newPrefixCache(o.CacheTokens), state: EngineState{Role: "mixed"},
	}
	e.tomb, _ = tomb.WithContext(ctx)
	e.tomb.Go(e.run)
	return e
}

// Wait blocks until the engine has stopped.
func (e *Engine) Wait() error { return e.tomb.Wait() }

func (e *Engine) run() error {
	for e.tomb.Alive() {
		duration := e.step()
		select {
		case <-time.After(duration):
		case <-e.tomb.Dying():
		}
	}
	return nil
}

// step admits waiting requests, decodes one token of each running request and returns
// how long the step takes.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateReport()
	if e.faults.Hang {
		return idleInterval
	}
	uncached := e.admit()
	if len(e.running) == 0 {
		return idleInterval
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
	load := 1 + 0.5*float64(len(e.running))/float64(e.options.MaxBatch)
	duration := float64(e.options.TokenGap)*load + float64(e.options.PrefillPerToken)*float64(uncached)
	return time.Duration(factor * duration)
}

// admit moves waiting requests into the batch, by priority and then arrival, and returns
// the number of their uncached tokens.
func (e *Engine) admit() int {
	slices.SortStableFunc(e.waiting, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
	})
	uncached := 0
	for len(e.running) < e.options.MaxBatch && len(e.waiting) > 0 {
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
			e.heldTokens[s.program] = total
			e.heldNodes[s.program] = s.nodes
		}
		e.running = append(e.running, s)
	}
	return uncached
}

func (e *Engine) updateReport() {
	if now := time.Now(); now.Sub(e.reportedAt) >= reportInterval {
		e.reportedAt = now
		e.report = e.nextReport
		e.nextReport = Load{Running: len(e.running), Waiting: len(e.waiting), Held: len(e.heldTokens)}
	}
}

// submit queues a request. If one with the same id exists and is not canceled, submit
// returns that one. It returns false if the engine refuses the request.
func (e *Engine) submit(s *stream) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.streams[s.id]; ok && !old.cancelled {
		return old, true
	}
	if e.faults.Refuse || len(e.waiting) >= maxEngineQueue {
		return nil, false
	}
	e.arrivals++
	s.arrival = e.arrivals
	e.counts.Requests++
	e.streams[s.id] = s
	e.streamIDs = append(e.streamIDs, s.id)
	if len(e.streamIDs) > maxStreams {
		e.evict(e.streamIDs[0])
		e.streamIDs = e.streamIDs[1:]
	}
	e.waiting = append(e.waiting, s)
	return s, true
}

func (e *Engine) evict(id string) {
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

func (e *Engine) chunksFrom(s *stream, from int) ([]Chunk, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.chunksFrom(from)
}

// HeldPrograms returns the programs whose cache the engine holds, sorted.
func (e *Engine) HeldPrograms() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	programs := make([]string, 0, len(e.heldTokens))
	for p := range e.heldTokens {
		programs = append(programs, p)
	}
	slices.Sort(programs)
	return programs
}

// ReleaseProgram stops holding the cache of a program.
func (e *Engine) ReleaseProgram(program string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.heldTokens, program)
	delete(e.heldNodes, program)
}

// Counts returns the counts of the engine's work so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}
