package simulator_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/storer"
)

const hopLatency = time.Millisecond

// network simulates the links between endpoints: nodes, targets and the table service.
// Links can be cut, and nodes frozen or killed.
type network struct {
	mu     sync.Mutex
	cuts   map[[2]string]bool
	frozen map[string]chan struct{}
	dead   map[string]bool
	nodes  map[string]*node
	// onCall is called before each remote call is sent.
	onCall func(from, method string)
}

func newNetwork() *network {
	return &network{cuts: map[[2]string]bool{}, frozen: map[string]chan struct{}{}, dead: map[string]bool{}, nodes: map[string]*node{}}
}

func (nw *network) setCut(from, to string, on bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.cuts[[2]string{from, to}] = on
}

func (nw *network) freeze(name string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if nw.frozen[name] == nil {
		nw.frozen[name] = make(chan struct{})
	}
}

func (nw *network) thaw(name string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if c := nw.frozen[name]; c != nil {
		close(c)
		delete(nw.frozen, name)
	}
}

func (nw *network) kill(name string) {
	nw.mu.Lock()
	nw.dead[name] = true
	nw.mu.Unlock()
	nw.thaw(name)
}

func (nw *network) heal() {
	nw.mu.Lock()
	names := make([]string, 0, len(nw.frozen))
	for n := range nw.frozen {
		names = append(names, n)
	}
	clear(nw.cuts)
	nw.mu.Unlock()
	for _, n := range names {
		nw.thaw(n)
	}
}

// waitWhileFrozen blocks while an endpoint is frozen. It returns false if the endpoint is
// dead.
func (nw *network) waitWhileFrozen(name string) bool {
	for {
		nw.mu.Lock()
		c, dead := nw.frozen[name], nw.dead[name]
		nw.mu.Unlock()
		if dead {
			return false
		}
		if c == nil {
			return true
		}
		<-c
	}
}

// transmit sends a message over one link. A cut link drops the message silently, so the
// sender waits until ctx is done.
func (nw *network) transmit(ctx context.Context, from, to string) error {
	if !nw.waitWhileFrozen(from) {
		return errors.New("sender is dead")
	}
	nw.mu.Lock()
	cut := nw.cuts[[2]string{from, to}]
	nw.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errors.Wrap(ctx.Err(), "cut")
	}
	select {
	case <-time.After(hopLatency):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nodeCaller makes the remote procedure calls of one node.
type nodeCaller struct {
	network *network
	from    string
}

// Call implements messenger.Caller. Arguments and replies are copied through gob, as on a
// real connection.
func (nc *nodeCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if nc.network.onCall != nil {
		nc.network.onCall(nc.from, method)
	}
	if err := nc.network.transmit(ctx, nc.from, address); err != nil {
		return errors.Wrap(messenger.ErrNotSent, err.Error())
	}
	nc.network.mu.Lock()
	n := nc.network.nodes[address]
	dead := n == nil || nc.network.dead[address]
	nc.network.mu.Unlock()
	if dead {
		return messenger.ErrNotSent
	}
	c := &remoteCall{nodeCaller: nc, ctx: ctx, node: n, method: method, args: args, reply: reply, done: make(chan error, 1)}
	go c.run()
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(messenger.ErrNoReply, ctx.Err().Error())
	}
}

// remoteCall is a remote call in progress.
type remoteCall struct {
	nodeCaller *nodeCaller
	ctx        context.Context
	node       *node
	method     string
	args       any
	reply      any
	done       chan error
}

func (c *remoteCall) run() {
	nw := c.nodeCaller.network
	if !nw.waitWhileFrozen(c.node.address) {
		return
	}
	name, method, _ := strings.Cut(c.method, ".")
	service := reflect.ValueOf(c.node.services[name])
	call := service.MethodByName(method)
	args := reflect.New(call.Type().In(0).Elem())
	reply := reflect.New(call.Type().In(1).Elem())
	copyGob(c.args, args.Interface())
	call.Call([]reflect.Value{args, reply})
	if nw.transmit(c.ctx, c.node.address, c.nodeCaller.from) != nil {
		return
	}
	if !nw.waitWhileFrozen(c.nodeCaller.from) || c.ctx.Err() != nil {
		return
	}
	copyGob(reply.Interface(), c.reply)
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
	tableEndpoint = "table"
	tableTimeout  = 2 * time.Second
)

// nodeTable is the table service as seen from one node.
type nodeTable struct {
	network *network
	from    string
	store   storer.Table
}

// overNetwork runs an operation of the table service, with a network link before and
// after it. Once the request has arrived, the operation runs even if ctx is done.
func (t *nodeTable) overNetwork(ctx context.Context, operation func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if err := t.network.transmit(ctx, t.from, tableEndpoint); err != nil {
		return errors.Wrap(storer.ErrUnavailable, err.Error())
	}
	if err := operation(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	if err := t.network.transmit(ctx, tableEndpoint, t.from); err != nil {
		return errors.Wrap(storer.ErrUnavailable, err.Error())
	}
	if !t.network.waitWhileFrozen(t.from) {
		return errors.Wrap(storer.ErrUnavailable, "node is dead")
	}
	return nil
}

// Get implements storer.Table.
func (t *nodeTable) Get(ctx context.Context, key string) (row storer.Row, err error) {
	err = t.overNetwork(ctx, func(ctx context.Context) (e error) {
		row, e = t.store.Get(ctx, key)
		return e
	})
	return row, err
}

// Scan implements storer.Table.
func (t *nodeTable) Scan(ctx context.Context, prefix, after string, limit int) (rows []storer.Row, err error) {
	err = t.overNetwork(ctx, func(ctx context.Context) (e error) {
		rows, e = t.store.Scan(ctx, prefix, after, limit)
		return e
	})
	return rows, err
}

// Commit implements storer.Table.
func (t *nodeTable) Commit(ctx context.Context, tx storer.Transaction) (version uint64, err error) {
	err = t.overNetwork(ctx, func(ctx context.Context) (e error) {
		version, e = t.store.Commit(ctx, tx)
		return e
	})
	return version, err
}
