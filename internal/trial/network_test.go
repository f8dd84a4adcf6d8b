package trial_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/linker"
	"pimentorail.example/pimentorail/internal/storer"
)

const hop = time.Millisecond

// network says which places can reach which, and which stand still.
type network struct {
	mu     sync.Mutex
	cuts   map[[2]string]bool
	frozen map[string]chan struct{}
	dead   map[string]bool
	nodes  map[string]*node
	// onCall is told of each remote call before it leaves.
	onCall func(from, method string)
}

func newNetwork() *network {
	return &network{cuts: map[[2]string]bool{}, frozen: map[string]chan struct{}{}, dead: map[string]bool{}, nodes: map[string]*node{}}
}

func (w *network) cut(from, to string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from, to}] = on
}

func (w *network) freeze(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.frozen[name] == nil {
		w.frozen[name] = make(chan struct{})
	}
}

func (w *network) thaw(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.frozen[name]; c != nil {
		close(c)
		delete(w.frozen, name)
	}
}

func (w *network) kill(name string) {
	w.mu.Lock()
	w.dead[name] = true
	w.mu.Unlock()
	w.thaw(name)
}

func (w *network) heal() {
	w.mu.Lock()
	names := make([]string, 0, len(w.frozen))
	for n := range w.frozen {
		names = append(names, n)
	}
	clear(w.cuts)
	w.mu.Unlock()
	for _, n := range names {
		w.thaw(n)
	}
}

// hold waits while a place is frozen; false means that it is dead.
func (w *network) hold(name string) bool {
	for {
		w.mu.Lock()
		c, dead := w.frozen[name], w.dead[name]
		w.mu.Unlock()
		if dead {
			return false
		}
		if c == nil {
			return true
		}
		<-c
	}
}

// pass carries a message over one hop; a cut swallows it, so the sender waits out its context.
func (w *network) pass(ctx context.Context, from, to string) error {
	if !w.hold(from) {
		return errors.New("sender is dead")
	}
	w.mu.Lock()
	cut := w.cuts[[2]string{from, to}]
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errors.Wrap(ctx.Err(), "cut")
	}
	select {
	case <-time.After(hop):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wire makes remote procedure calls in the name of one node.
type wire struct {
	network *network
	from    string
}

// Call implements linker.Caller; arguments and replies are copied as gob does it.
func (w *wire) Call(ctx context.Context, address, method string, args, reply any) error {
	if w.network.onCall != nil {
		w.network.onCall(w.from, method)
	}
	if err := w.network.pass(ctx, w.from, address); err != nil {
		return errors.Wrap(linker.ErrUnreached, err.Error())
	}
	w.network.mu.Lock()
	n := w.network.nodes[address]
	dead := n == nil || w.network.dead[address]
	w.network.mu.Unlock()
	if dead {
		return linker.ErrUnreached
	}
	c := &remoteCall{wire: w, ctx: ctx, node: n, method: method, args: args, reply: reply, done: make(chan error, 1)}
	go c.run()
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(linker.ErrLost, ctx.Err().Error())
	}
}

// remoteCall is one call under way.
type remoteCall struct {
	wire   *wire
	ctx    context.Context
	node   *node
	method string
	args   any
	reply  any
	done   chan error
}

func (c *remoteCall) run() {
	w := c.wire.network
	if !w.hold(c.node.address) {
		return
	}
	name, method, _ := strings.Cut(c.method, ".")
	service := reflect.ValueOf(c.node.services[name])
	call := service.MethodByName(method)
	args := reflect.New(call.Type().In(0).Elem())
	answer := reflect.New(call.Type().In(1).Elem())
	copyGob(c.args, args.Interface())
	call.Call([]reflect.Value{args, answer})
	if w.pass(c.ctx, c.node.address, c.wire.from) != nil {
		return
	}
	if !w.hold(c.wire.from) || c.ctx.Err() != nil {
		return
	}
	copyGob(answer.Interface(), c.reply)
	c.done <- nil
}

func copyGob(from, to any) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&b).Decode(to); err != nil {
		panic(err)
	}
}

const (
	tablePlace  = "table"
	tableAnswer = 2 * time.Second
)

// table is the table service as one node reaches it.
type table struct {
	network *network
	from    string
	store   storer.Table
}

func (t *table) around(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, tableAnswer)
	defer cancel()
	if err := t.network.pass(ctx, t.from, tablePlace); err != nil {
		return errors.Wrap(storer.ErrUnavailable, err.Error())
	}
	if err := do(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	if err := t.network.pass(ctx, tablePlace, t.from); err != nil {
		return errors.Wrap(storer.ErrUnavailable, err.Error())
	}
	if !t.network.hold(t.from) {
		return errors.Wrap(storer.ErrUnavailable, "dead")
	}
	return nil
}

// Get implements storer.Table.
func (t *table) Get(ctx context.Context, key string) (row storer.Row, err error) {
	err = t.around(ctx, func(ctx context.Context) (e error) {
		row, e = t.store.Get(ctx, key)
		return e
	})
	return row, err
}

// Scan implements storer.Table.
func (t *table) Scan(ctx context.Context, prefix, after string, limit int) (rows []storer.Row, err error) {
	err = t.around(ctx, func(ctx context.Context) (e error) {
		rows, e = t.store.Scan(ctx, prefix, after, limit)
		return e
	})
	return rows, err
}

// Commit implements storer.Table.
func (t *table) Commit(ctx context.Context, tx storer.Transaction) (version uint64, err error) {
	err = t.around(ctx, func(ctx context.Context) (e error) {
		version, e = t.store.Commit(ctx, tx)
		return e
	})
	return version, err
}
