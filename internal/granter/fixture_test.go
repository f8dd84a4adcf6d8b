package granter_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/granter"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/storer"
)

// zone is a set of daemons that call each other in memory.
type zone struct {
	store *emulator.Store

	mu      sync.Mutex
	random  *rand.Rand
	daemons []*daemon
	// faultEvery makes one in that many calls between daemons fail; zero disables faults.
	faultEvery int
	starts     int
	// onMessage is called with each request and reply between daemons; nil for none.
	onMessage func(v any)
	// away are the indices of the daemons that are in another availability zone.
	away map[int]bool
}

// daemon is one granter with its dependencies.
type daemon struct {
	zone    *zone
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	table   *countingTable
	budgets *budgeter.Budgeter
	granter *granter.Granter
	service *granter.Service
	// unresponsive daemons never reply.
	unresponsive atomic.Bool
	process      string
	// away is set for daemons of another availability zone.
	away bool
	// old is set for daemons of the previous build, which publish no process.
	old bool
	// returns counts the calls that asked this daemon to return tokens.
	returns atomic.Int64
}

// countingTable counts the writes of one daemon.
type countingTable struct {
	storer.Table
	mu      sync.Mutex
	commits int
	// throttled makes the store refuse all writes as above its rate.
	throttled atomic.Bool
	// former is set for a daemon of the previous build, which does not find rows whose keys have
	// spaces.
	former atomic.Bool
}

// Get implements storer.Table.
func (c *countingTable) Get(ctx context.Context, key string) (storer.Row, error) {
	if c.former.Load() && strings.Contains(key, " ") {
		return storer.Row{Key: key}, nil
	}
	return c.Table.Get(ctx, key)
}

// Commit implements storer.Table.
func (c *countingTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	c.mu.Lock()
	c.commits++
	c.mu.Unlock()
	if c.throttled.Load() {
		return 0, storer.ErrThrottled
	}
	return c.Table.Commit(ctx, tx)
}

func newZone(n, faultEvery int, r *rand.Rand, away ...int) *zone {
	z := &zone{away: map[int]bool{}, store: emulator.NewStore(), random: r, faultEvery: faultEvery, daemons: make([]*daemon, n)}
	for _, i := range away {
		z.away[i] = true
	}
	for i := range n {
		z.start(i)
	}
	return z
}

// start replaces a daemon by a new process without any cached state.
func (z *zone) start(i int) {
	if old := z.daemons[i]; old != nil {
		old.cancel()
	}
	z.starts++
	d := &daemon{zone: z, address: fmt.Sprintf("d%d", i), process: fmt.Sprintf("d%d-%d", i, z.starts), away: z.away[i], table: &countingTable{Table: z.store}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.budgets = budgeter.Start(d.ctx, d.table, d.process)
	turns := archivist.New(d.table, archivist.Options{RowBytes: 4096, CacheBytes: 1 << 20})
	d.granter = granter.Start(d.ctx, turns, d.budgets, d, logger.Start(d.ctx, io.Discard), granter.Options{
		VM: d.address, Name: d.process, Elsewhere: d.elsewhere,
	})
	d.service = d.granter.Service()
	z.mu.Lock()
	z.daemons[i] = d
	z.mu.Unlock()
}

// stop cancels all daemons and lets a minute pass, so that their goroutines end.
func (z *zone) stop() {
	for _, d := range z.daemons {
		d.cancel()
	}
	time.Sleep(time.Minute)
}

func (z *zone) commits() int {
	n := 0
	for _, d := range z.daemons {
		n += d.table.commits
	}
	return n
}

// Others implements assigner.Peers.
func (d *daemon) Others() []assigner.Peer { return d.list(d.away) }

// elsewhere returns the daemons of the other zone.
func (d *daemon) elsewhere(context.Context) []assigner.Peer { return d.list(!d.away) }

// list returns the other daemons of a zone.
func (d *daemon) list(away bool) []assigner.Peer {
	d.zone.mu.Lock()
	defer d.zone.mu.Unlock()
	var list []assigner.Peer
	for _, o := range d.zone.daemons {
		if o == nil || o.address == d.address || o.away != away {
			continue
		}
		p := assigner.Peer{Name: o.address, Address: o.address}
		if !o.old {
			p.Process = o.process
		}
		list = append(list, p)
	}
	return list
}

// observe passes a message between daemons to onMessage.
func (z *zone) observe(v any) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.onMessage != nil {
		z.onMessage(v)
	}
}

func (z *zone) randomInt(n int) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.random.IntN(n)
}

// Call implements messenger.Caller. Injected faults lose the request or the reply, or
// deliver the request late.
func (d *daemon) Call(ctx context.Context, address, method string, args, reply any) error {
	d.zone.mu.Lock()
	var callee *daemon
	for _, o := range d.zone.daemons {
		if o.address == address {
			callee = o
		}
	}
	d.zone.mu.Unlock()
	if callee.ctx.Err() != nil {
		return messenger.ErrNotSent
	}
	if _, ok := args.(granter.ReturnRequest); ok {
		callee.returns.Add(1)
	}
	d.zone.observe(args)
	c := &call{service: callee.service, method: method, args: args, done: make(chan struct{})}
	fault := 0
	if d.zone.faultEvery > 0 && d.zone.randomInt(d.zone.faultEvery) == 0 {
		fault = 1 + d.zone.randomInt(4)
	}
	switch {
	case fault == 1:
		return messenger.ErrNotSent
	case callee.unresponsive.Load() || fault == 2:
		<-ctx.Done()
		return messenger.ErrNoReply
	case fault == 3:
		time.AfterFunc(time.Duration(d.zone.randomInt(3000))*time.Millisecond, c.run)
		<-ctx.Done()
		return messenger.ErrNoReply
	}
	go c.run()
	select {
	case <-c.done:
	case <-ctx.Done():
		return messenger.ErrNoReply
	}
	if fault == 4 {
		return messenger.ErrNoReply
	}
	d.zone.observe(c.reply)
	switch r := reply.(type) {
	case *granter.OpenReply:
		*r = c.reply
	case *granter.ReturnReply:
		*r = c.returned
	}
	return nil
}

// call is one call at the daemon that serves it.
type call struct {
	service *granter.Service
	method  string
	args    any
	reply   granter.OpenReply
	// returned is the reply to a call that returns tokens.
	returned granter.ReturnReply
	done     chan struct{}
}

func (c *call) run() {
	defer close(c.done)
	switch q := c.args.(type) {
	case granter.OpenRequest:
		_ = c.service.Open(q, &c.reply)
	case granter.ReturnRequest:
		_ = c.service.Return(q, &c.returned)
	case granter.CloseRequest:
		_ = c.service.Close(q, &granter.CloseReply{})
	}
}
