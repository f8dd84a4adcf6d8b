package steward_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/linker"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/steward"
	"pimentorail.example/pimentorail/internal/storer"
)

// zone is a few daemons that reach each other in memory.
type zone struct {
	store *emulator.Store

	mu      sync.Mutex
	random  *rand.Rand
	daemons []*daemon
	// trouble is one in how many calls between daemons go wrong; zero is none.
	trouble int
	starts  int
}

// daemon is one steward with what it works on.
type daemon struct {
	zone    *zone
	address string
	life    context.Context
	cancel  context.CancelFunc
	table   *counting
	budgets *budgeter.Budgeter
	steward *steward.Steward
	service *steward.Service
	// silent peers never answer.
	silent atomic.Bool
}

// counting counts the writes of one daemon.
type counting struct {
	storer.Table
	mu      sync.Mutex
	commits int
}

// Commit implements storer.Table.
func (c *counting) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	c.mu.Lock()
	c.commits++
	c.mu.Unlock()
	return c.Table.Commit(ctx, tx)
}

func newZone(n, trouble int, r *rand.Rand) *zone {
	z := &zone{store: emulator.NewStore(), random: r, trouble: trouble, daemons: make([]*daemon, n)}
	for i := range n {
		z.start(i)
	}
	return z
}

// start puts a fresh process in a daemon's place, which forgets everything.
func (z *zone) start(i int) {
	if old := z.daemons[i]; old != nil {
		old.cancel()
	}
	z.starts++
	d := &daemon{zone: z, address: fmt.Sprintf("d%d", i), table: &counting{Table: z.store}}
	d.life, d.cancel = context.WithCancel(context.Background())
	d.budgets = budgeter.Start(d.life, d.table, fmt.Sprintf("%s-%d", d.address, z.starts))
	turns := archivist.New(d.table, archivist.Options{RowBytes: 4096, CacheBytes: 1 << 20})
	d.steward = steward.Start(d.life, turns, d.budgets, d, recorder.Start(d.life, io.Discard), steward.Options{
		Node: d.address, Name: fmt.Sprintf("%s-%d", d.address, z.starts),
	})
	d.service = d.steward.Service()
	z.mu.Lock()
	z.daemons[i] = d
	z.mu.Unlock()
}

// end stops all daemons.
func (z *zone) end() {
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
func (d *daemon) Others() []assigner.Peer {
	d.zone.mu.Lock()
	defer d.zone.mu.Unlock()
	var list []assigner.Peer
	for _, o := range d.zone.daemons {
		if o != nil && o.address != d.address {
			list = append(list, assigner.Peer{Name: o.address, Address: o.address})
		}
	}
	return list
}

func (z *zone) draw(n int) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.random.IntN(n)
}

// Call implements linker.Caller; calls get lost on either way and come late.
func (d *daemon) Call(ctx context.Context, address, method string, args, reply any) error {
	d.zone.mu.Lock()
	var to *daemon
	for _, o := range d.zone.daemons {
		if o.address == address {
			to = o
		}
	}
	d.zone.mu.Unlock()
	if to.life.Err() != nil {
		return linker.ErrUnreached
	}
	c := &call{service: to.service, method: method, args: args, done: make(chan struct{})}
	wrong := 0
	if d.zone.trouble > 0 && d.zone.draw(d.zone.trouble) == 0 {
		wrong = 1 + d.zone.draw(4)
	}
	switch {
	case wrong == 1:
		return linker.ErrUnreached
	case to.silent.Load() || wrong == 2:
		<-ctx.Done()
		return linker.ErrLost
	case wrong == 3:
		time.AfterFunc(time.Duration(d.zone.draw(3000))*time.Millisecond, c.run)
		<-ctx.Done()
		return linker.ErrLost
	}
	go c.run()
	select {
	case <-c.done:
	case <-ctx.Done():
		return linker.ErrLost
	}
	if wrong == 4 {
		return linker.ErrLost
	}
	if r, ok := reply.(*steward.OpenReply); ok {
		*r = c.reply
	}
	return nil
}

// call is one call at its receiver.
type call struct {
	service *steward.Service
	method  string
	args    any
	reply   steward.OpenReply
	done    chan struct{}
}

func (c *call) run() {
	defer close(c.done)
	switch q := c.args.(type) {
	case steward.OpenRequest:
		_ = c.service.Open(q, &c.reply)
	case steward.CloseRequest:
		_ = c.service.Close(q, &steward.CloseReply{})
	}
}
