package rationer_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"math/rand/v2"
	"reflect"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/ratelimiter"
	"pimentorail.example/pimentorail/internal/rationer"
	"pimentorail.example/pimentorail/internal/storer"
)

// The users' bound on what runs in any window.
const (
	window     = 5 * time.Second
	overage    = 0.1
	slack      = 20
	freezePoll = 5 * time.Millisecond
)

// network carries messages between daemons in fake time, and cuts, delays and loses them.
type network struct {
	lifetime context.Context
	store    *emulator.Store
	nodes    []*node

	mu     sync.Mutex
	random *rand.Rand
	// cut holds the pairs of nodes without a link, and storeAway is set while the store does not answer.
	cut       map[[2]int]bool
	storeAway bool
	lossy     bool
	calls     sync.WaitGroup
	tolerance ratelimiter.Tolerance
	// requests and messages count the requests of accounts and the calls between daemons.
	requests, messages atomic.Int64
}

// node is a VM with at most one daemon process.
type node struct {
	network *network
	index   int

	mu      sync.Mutex
	process *process
	starts  int
	frozen  bool
}

// process is one process of a daemon.
type process struct {
	node     *node
	rationer *rationer.Rationer
	service  reflect.Value
	end      context.CancelFunc
	lifetime context.Context
}

// usersTolerance is the users' tolerance.
func usersTolerance() ratelimiter.Tolerance { return ratelimiter.NewTolerance(window, overage, slack) }

func newNetwork(ctx context.Context, seed uint64, n int, t ratelimiter.Tolerance) *network {
	w := &network{lifetime: ctx, tolerance: t, store: emulator.NewStore(), random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}}
	for i := range n {
		w.nodes = append(w.nodes, &node{network: w, index: i})
	}
	return w
}

func (n *node) address() string { return fmt.Sprintf("a%d", n.index) }

// start starts a process, unless one runs.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return
	}
	n.starts++
	p := &process{node: n}
	p.lifetime, p.end = context.WithCancel(n.network.lifetime)
	p.rationer = rationer.New(rationer.Dependencies{Peers: p, Table: p, Feed: p, Logger: logger.Start(p.lifetime, io.Discard)}, rationer.Options{
		VM: fmt.Sprintf("vm-%d", n.index), Process: fmt.Sprintf("vm-%d/%d", n.index, n.starts), Address: n.address(),
		Tolerance: n.network.tolerance, Needed: func() bool { return true },
	})
	p.service = reflect.ValueOf(p.rationer.Service())
	n.process = p
	p.rationer.Start(p.lifetime)
}

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.end()
		n.process = nil
	}
	n.frozen = false
}

func (n *node) running() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

func (n *node) setFrozen(frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = frozen
}

// awake waits until the process runs, and returns false if it has ended.
func (p *process) awake() bool {
	for {
		p.node.mu.Lock()
		frozen, ended := p.node.frozen, p.node.process != p
		p.node.mu.Unlock()
		if ended || p.lifetime.Err() != nil {
			return false
		}
		if !frozen {
			return true
		}
		time.Sleep(freezePoll)
	}
}

// draw returns a delay of a message, and whether it is lost.
func (w *network) draw(from, to int) (delay time.Duration, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delay = time.Duration(200+w.random.IntN(1500)) * time.Microsecond
	if w.lossy && w.random.IntN(20) == 0 {
		delay += time.Duration(w.random.IntN(200)) * time.Millisecond
	}
	return delay, w.cut[pair(from, to)] || w.lossy && w.random.IntN(50) == 0
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (w *network) setCut(a, b int, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[pair(a, b)] = cut
}

// Call implements messenger.Caller. The call may be executed after the caller has given up.
func (p *process) Call(ctx context.Context, address, method string, args, reply any) error {
	w := p.node.network
	var target *node
	for _, n := range w.nodes {
		if n.address() == address {
			target = n
		}
	}
	there := target.running()
	if there == nil {
		return messenger.ErrNotSent
	}
	c := &call{network: w, from: p, to: there, method: method, args: encode(args), reply: make(chan []byte, 1), replyType: reflect.TypeOf(reply).Elem(), argsType: reflect.TypeOf(args)}
	w.calls.Add(1)
	w.messages.Add(1)
	go c.run()
	select {
	case data := <-c.reply:
		if data == nil || ctx.Err() != nil {
			return messenger.ErrNoReply
		}
		return gob.NewDecoder(bytes.NewReader(data)).Decode(reply)
	case <-ctx.Done():
		return messenger.ErrNoReply
	}
}

// call is one message and its reply.
type call struct {
	network             *network
	from, to            *process
	method              string
	args                []byte
	argsType, replyType reflect.Type
	reply               chan []byte
}

func (c *call) run() {
	defer c.network.calls.Done()
	if !c.pass(c.from, c.to) {
		return
	}
	args, reply := reflect.New(c.argsType), reflect.New(c.replyType)
	if err := gob.NewDecoder(bytes.NewReader(c.args)).DecodeValue(args); err != nil {
		panic(err)
	}
	name := strings.TrimPrefix(c.method, rationer.ServiceName+".")
	c.to.service.MethodByName(name).Call([]reflect.Value{args.Elem(), reply})
	data := encode(reply.Elem().Interface())
	if c.pass(c.to, c.from) {
		c.reply <- data
	}
}

// pass carries a message from one process to another, which may be frozen.
func (c *call) pass(from, to *process) bool {
	if !from.awake() {
		return false
	}
	delay, lost := c.network.draw(from.node.index, to.node.index)
	time.Sleep(delay)
	return !lost && to.awake()
}

func encode(v any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		panic(err)
	}
	return b.Bytes()
}

func (p *process) storeError() error {
	w := p.node.network
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeAway {
		return storer.ErrUnavailable
	}
	return nil
}

// Get implements storer.Table.
func (p *process) Get(ctx context.Context, key string) (storer.Row, error) {
	if err := p.storeError(); err != nil {
		return storer.Row{}, err
	}
	return p.node.network.store.Get(ctx, key)
}

// Scan implements storer.Table.
func (p *process) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := p.storeError(); err != nil {
		return nil, err
	}
	return p.node.network.store.Scan(ctx, prefix, after, limit)
}

// Commit implements storer.Table.
func (p *process) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	if err := p.storeError(); err != nil {
		return 0, err
	}
	return p.node.network.store.Commit(ctx, tx)
}

// List implements storer.Feed.
func (p *process) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	if err := p.storeError(); err != nil {
		return nil, 0, err
	}
	return p.node.network.store.List(ctx, table)
}

// Changes implements storer.Feed.
func (p *process) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	if err := p.storeError(); err != nil {
		return nil, 0, err
	}
	return p.node.network.store.Changes(ctx, table, after, wait)
}

// account is a limited account with what ran of it.
type account struct {
	name string

	mu      sync.Mutex
	limit   ratelimiter.Limit
	version uint64
	runs    []run
	// outcomes counts what became of its requests.
	outcomes map[ratelimiter.Outcome]int
}

// run is a request that a replica began to run.
type run struct{ sent, ran time.Time }

func newAccount(name string, rate, burst float64) *account {
	return &account{name: name, limit: ratelimiter.NewLimit(rate, burst), version: 1, outcomes: map[ratelimiter.Outcome]int{}}
}

func (a *account) setLimit(l ratelimiter.Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = l
	a.version++
}

// request sends a request of an account to a node, which runs it at a replica some time later.
type request struct {
	node     *node
	account  *account
	runAfter time.Duration
	// unused lets the replica refuse the request.
	unused bool
}

func (q *request) run() {
	defer q.node.network.calls.Done()
	q.node.network.requests.Add(1)
	sent := time.Now()
	p := q.node.running()
	if p == nil || !p.awake() {
		return
	}
	a := q.account
	a.mu.Lock()
	limit, version := a.limit, a.version
	a.mu.Unlock()
	credit, outcome, wait := p.rationer.Take(context.Background(), a.name, limit, version)
	if !p.awake() {
		return
	}
	if outcome == ratelimiter.Exhausted && (wait <= 0 || wait > window+10*seconds(1/limit.Rate())) {
		panic(fmt.Sprintf("account %s is to come back after %v", a.name, wait))
	}
	a.mu.Lock()
	a.outcomes[outcome]++
	a.mu.Unlock()
	if outcome != ratelimiter.Granted {
		return
	}
	time.Sleep(q.runAfter)
	if !p.awake() {
		return
	}
	if q.unused {
		credit.GiveBack()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(a.runs, run{sent, time.Now()})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fullest returns the most runs of requests that were sent and run within one window.
func (a *account) fullest(from, to time.Time) (most int, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	runs := append([]run(nil), a.runs...)
	sort.Slice(runs, func(i, k int) bool { return runs[i].sent.Before(runs[k].sent) })
	for i, first := range runs {
		end := first.sent.Add(window)
		if first.sent.Before(from) || end.After(to) {
			continue
		}
		n := 0
		for _, r := range runs[i:] {
			if r.sent.After(end) {
				break
			}
			if !r.ran.After(end) {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}

// bound returns the most requests of a limit that may run in a window.
func (w *network) bound(l ratelimiter.Limit) int {
	return int(l.Within(window) + max(maxFloors, w.tolerance.Beyond(l)))
}

// maxFloors is how many requests may run in a window because holders of an arc follow each other, each of which
// lets one run of an account of which it knows nothing.
const maxFloors = 8

// traffic sends the requests of an account to nodes, some more often than others, at a mean rate.
type traffic struct {
	network   *network
	account   *account
	perSecond float64
	nodes     []*node
	random    *rand.Rand
}

func (x *traffic) run() {
	defer x.network.calls.Done()
	for x.network.lifetime.Err() == nil {
		time.Sleep(seconds(x.random.ExpFloat64() / x.perSecond))
		q := &request{
			account: x.account, node: x.nodes[int(float64(len(x.nodes))*x.random.Float64()*x.random.Float64())],
			runAfter: time.Duration(x.random.IntN(200)) * time.Millisecond, unused: x.random.IntN(50) == 0,
		}
		x.network.calls.Add(1)
		go q.run()
	}
}

func (w *network) send(a *account, perSecond float64, seed uint64) {
	w.calls.Add(1)
	random := rand.New(rand.NewPCG(seed, 2))
	nodes := append([]*node(nil), w.nodes...)
	random.Shuffle(len(nodes), func(i, k int) { nodes[i], nodes[k] = nodes[k], nodes[i] })
	go (&traffic{network: w, account: a, perSecond: perSecond, nodes: nodes, random: random}).run()
}

func (w *network) report(t *testing.T, accounts []*account, from, to time.Time) {
	t.Helper()
	for _, a := range accounts {
		a.mu.Lock()
		limit, outcomes := a.limit, fmt.Sprint(a.outcomes)
		a.mu.Unlock()
		most, at := a.fullest(from, to)
		if most > w.bound(limit) {
			t.Errorf("%s with limit %v ran %d in %v from %v on, more than %d; outcomes %s", a.name, limit, most, window, at.Sub(from), w.bound(limit), outcomes)
		}
	}
}
