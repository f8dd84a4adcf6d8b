package configurer_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

func declarationsWith(weight int) *declarer.Declarations {
	return &declarer.Declarations{
		Accounts: []declarer.Account{{Name: "falaj", KeyHash: strings.Repeat("a", 64), Weight: weight, InFlight: 5, Targets: []string{}, ProgramBudget: 10}},
		Policy:   declarer.Policy{StoreOutage: declarer.ContinueStateless, QueueLimitMS: weight + 100},
	}
}

// lossyTable loses the replies of commits while loseReplies is set.
type lossyTable struct {
	*emulator.Store
	loseReplies atomic.Bool
}

// Commit implements storer.Table.
func (l *lossyTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	v, err := l.Store.Commit(ctx, tx)
	if l.loseReplies.Load() && err == nil {
		return 0, storer.ErrUnavailable
	}
	return v, err
}

func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	g := configurer.NewRepository(emulator.NewStore())
	base, err := g.Load(ctx)
	is.NoErr(err)
	v, err := g.Apply(ctx, base, declarationsWith(1), "salma", "")
	is.NoErr(err)
	is.Equal(v, uint64(1))
	_, err = g.Apply(ctx, base, declarationsWith(2), "berto", "")
	f := classifier.From(err)
	is.Equal(f.Code, classifier.ConfigConflict)
	is.True(strings.Contains(f.Message, "salma changed account/falaj, policy")) // The other operator and the changed objects.
	current, err := g.Load(ctx)
	is.NoErr(err)
	v, err = g.Apply(ctx, current, declarationsWith(2), "berto", "")
	is.NoErr(err)
	is.Equal(v, uint64(2))
}

func TestLostAnswerOfTheSwap(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l := &lossyTable{Store: emulator.NewStore()}
	l.loseReplies.Store(true)
	g := configurer.NewRepository(l)
	base, err := g.Load(ctx)
	is.NoErr(err)
	v, err := g.Apply(ctx, base, declarationsWith(1), "salma", "")
	is.NoErr(err)
	is.Equal(v, uint64(1))
	changes, err := g.Changes(ctx, 0, 10)
	is.NoErr(err)
	is.Equal(len(changes), 1) // Accepted once.
}

func TestDeclarationsAtEarlierVersion(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	g := configurer.NewRepository(emulator.NewStore())
	for w := 1; w <= 4; w++ {
		s, err := g.Load(ctx)
		is.NoErr(err)
		_, err = g.Apply(ctx, s, declarationsWith(w), "salma", "")
		is.NoErr(err)
	}
	d, err := g.DeclarationsAt(ctx, 2)
	is.NoErr(err)
	is.Equal(d.Accounts[0].Weight, 2)
	_, err = g.DeclarationsAt(ctx, 9)
	is.True(err != nil)
}

func TestKeyHashesAreMasked(t *testing.T) {
	is := is.New(t)
	edits, err := configurer.Diff(configurer.NewWatcher(nil, nil, nil).Snapshot(), declarationsWith(1))
	is.NoErr(err)
	for _, e := range edits {
		is.True(!strings.Contains(string(e.Mask().To), strings.Repeat("a", 64)))
	}
}

func TestWarnings(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	g := configurer.NewRepository(emulator.NewStore())
	d := declarationsWith(1)
	d.Targets = []declarer.Target{{Name: "chat", Kind: declarer.Engine, Replicas: []declarer.Replica{{Name: "a"}, {Name: "b"}}}}
	s, err := g.Load(ctx)
	is.NoErr(err)
	_, err = g.Apply(ctx, s, d, "salma", "")
	is.NoErr(err)
	s, err = g.Load(ctx)
	is.NoErr(err)
	next := declarationsWith(1)
	next.Accounts[0].ProgramBudget = 5
	next.Targets = []declarer.Target{{Name: "chat", Kind: declarer.Engine, Replicas: []declarer.Replica{{Name: "a"}}}}
	edits, err := configurer.Diff(s, next)
	is.NoErr(err)
	text := strings.Join(configurer.Warnings(edits), "\n")
	is.True(strings.Contains(text, "chat/b is removed without a drain"))
	is.True(strings.Contains(text, "falls from 10 to 5"))
}

// watcherPeers are the watchers that a watcher may ask, itself included.
type watcherPeers struct {
	mu          sync.Mutex
	watchers    []*configurer.Watcher
	unavailable atomic.Bool
}

func (p *watcherPeers) all() []*configurer.Watcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.watchers)
}

func (p *watcherPeers) add(w *configurer.Watcher) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers = append(p.watchers, w)
}

// Since implements configurer.Peers.
func (p *watcherPeers) Since(_ context.Context, version uint64) (configurer.SinceReply, error) {
	for _, w := range p.all() {
		var r configurer.SinceReply
		_ = configurer.NewService(w).Since(&configurer.SinceRequest{Version: version}, &r)
		if r.Confirmed && !p.unavailable.Load() {
			return r, nil
		}
	}
	return configurer.SinceReply{}, errors.New("no peer")
}

// TestInForceAndNeverBack applies changes while daemons lose the store, their peers or
// both. It checks that the version in force never decreases, and that it is the accepted
// one 5 s later on each daemon that reaches the store or has confirmed the head.
func TestInForceAndNeverBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"apply", "apply", "wait", "wait", "down-0", "down-1", "down-2", "up", "cut", "join", "lose"}), 1, 25).Draw(rt, "steps")
		violation := ""
		synctest.Test(t, func(*testing.T) { violation = runSteps(steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// daemonTable is one daemon's access to the table, which can become unavailable.
type daemonTable struct {
	*lossyTable
	unavailable atomic.Bool
}

// Get implements storer.Table.
func (t *daemonTable) Get(ctx context.Context, key string) (storer.Row, error) {
	if t.unavailable.Load() {
		return storer.Row{}, storer.ErrUnavailable
	}
	return t.lossyTable.Get(ctx, key)
}

// runSteps returns a message if a daemon's version in force is wrong after a step.
func runSteps(steps []string) string {
	s := &lossyTable{Store: emulator.NewStore()}
	operator := configurer.NewRepository(s)
	ctx, cancel := context.WithCancel(context.Background())
	p := &watcherPeers{}
	var tables []*daemonTable
	var seen []uint64
	join := func() {
		t := &daemonTable{lossyTable: s}
		w := configurer.NewWatcher(configurer.NewRepository(t), p, nil)
		tables, seen = append(tables, t), append(seen, 0)
		p.add(w)
		w.Start(ctx)
	}
	for range 3 {
		join()
	}
	defer func() {
		cancel()
		for _, w := range p.watchers {
			_ = w.Wait()
		}
	}()
	accepted := uint64(0)
	for i, step := range steps {
		switch step {
		case "apply":
			base, err := operator.Load(ctx)
			if err == nil {
				accepted, err = operator.Apply(ctx, base, declarationsWith(i+1), "salma", "")
			}
			if err != nil {
				return err.Error()
			}
		case "wait":
			time.Sleep(5 * time.Second)
		case "down-0", "down-1", "down-2":
			tables[step[5]-'0'].unavailable.Store(true)
		case "up":
			p.unavailable.Store(false)
			s.loseReplies.Store(false)
			for _, t := range tables {
				t.unavailable.Store(false)
			}
		case "cut":
			p.unavailable.Store(true)
		case "lose":
			s.loseReplies.Store(true)
		case "join":
			join()
		}
		for k, w := range p.watchers {
			v := w.Snapshot().Version()
			if v < seen[k] {
				return fmt.Sprintf("daemon %d went back from version %d to %d", k, seen[k], v)
			}
			seen[k] = v
			storeReachable := !tables[k].unavailable.Load()
			if step == "wait" && storeReachable && v != accepted {
				return fmt.Sprintf("daemon %d has version %d in force, but version %d was accepted at least 5 s ago", k, v, accepted)
			}
			if step == "wait" && w.Confirmed() && v != accepted {
				return fmt.Sprintf("daemon %d has confirmed version %d, but version %d was accepted at least 5 s ago", k, v, accepted)
			}
		}
	}
	return ""
}

func BenchmarkOneChangeInManyAccounts(b *testing.B) {
	ctx := context.Background()
	store := emulator.NewStore()
	g := configurer.NewRepository(store)
	d := &declarer.Declarations{Policy: declarer.Policy{StoreOutage: declarer.ContinueStateless}}
	for i := range 40_000 {
		d.Accounts = append(d.Accounts, declarer.Account{Name: fmt.Sprintf("account-%05d", i), KeyHash: fmt.Sprintf("%064x", i), Weight: 1, InFlight: 10, Targets: []string{"chat"}, ProgramBudget: 1})
	}
	s, err := g.Load(ctx)
	if err == nil {
		_, err = g.Apply(ctx, s, d, "salma", "")
	}
	if err != nil {
		b.Fatal(err)
	}
	w := configurer.NewWatcher(g, nil, nil)
	w.Tick(ctx)
	b.ReportAllocs()
	before := store.Counts().Bytes
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		d.Accounts[i%40_000].Weight++
		if _, err := g.Apply(ctx, w.Snapshot(), d, "salma", ""); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		w.Tick(ctx)
	}
	b.ReportMetric(float64(store.Counts().Bytes-before)/float64(b.N), "bytes-written/op")
}
