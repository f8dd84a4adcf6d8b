package leaser_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/storer"
)

const partitions = 16

// nopObserver ignores all notifications.
type nopObserver struct{}

func (nopObserver) Gained(leaser.Fence)              {}
func (nopObserver) Lost(int)                         {}
func (nopObserver) Drain(context.Context, int) error { return nil }

// table is one member's access to the table service, with injected faults.
type table struct {
	*emulator.Store
	unavailable atomic.Bool
	loseReplies atomic.Bool
	mu          sync.Mutex
	frozen      chan struct{}
}

func (t *table) freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen == nil {
		t.frozen = make(chan struct{})
	}
}

func (t *table) thaw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen != nil {
		close(t.frozen)
		t.frozen = nil
	}
}

// beforeCall blocks while the table is frozen and fails while it is unavailable.
func (t *table) beforeCall() error {
	t.mu.Lock()
	frozen := t.frozen
	t.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	if t.unavailable.Load() {
		return storer.ErrUnavailable
	}
	return nil
}

// Get implements storer.Table.
func (t *table) Get(ctx context.Context, key string) (storer.Row, error) {
	if err := t.beforeCall(); err != nil {
		return storer.Row{}, err
	}
	return t.Store.Get(ctx, key)
}

// Scan implements storer.Table.
func (t *table) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := t.beforeCall(); err != nil {
		return nil, err
	}
	return t.Store.Scan(ctx, prefix, after, limit)
}

// Commit implements storer.Table.
func (t *table) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	if err := t.beforeCall(); err != nil {
		return 0, err
	}
	v, err := t.Store.Commit(ctx, tx)
	if t.loseReplies.Load() && err == nil {
		return 0, errors.Wrap(storer.ErrUnavailable, "the reply is lost")
	}
	return v, err
}

// member is a leaser with its own access to the table.
type member struct {
	*leaser.Leaser
	table *table
	stop  context.CancelFunc
}

func startMember(s *emulator.Store, name string) *member {
	m := &member{table: &table{Store: s}}
	m.Leaser = leaser.New(leaser.Options{Table: m.table, Session: name, Address: name, Zone: "z", Partitions: partitions, Observer: nopObserver{}})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.Start(ctx)
	return m
}

// countOwners counts the members that own each partition under a valid lease, once all
// other goroutines are blocked.
func countOwners(members []*member) [partitions]int {
	synctest.Wait()
	var n [partitions]int
	for _, m := range members {
		for p := range partitions {
			if _, ok := m.Owns(p); ok {
				n[p]++
			}
		}
	}
	return n
}

func allEqual(n [partitions]int, want int) bool {
	for _, k := range n {
		if k != want {
			return false
		}
	}
	return true
}

func closeAll(members []*member) {
	for _, m := range members {
		m.table.thaw()
		m.stop()
		_ = m.Wait()
	}
}

func TestEveryPartitionHasOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		members := []*member{startMember(s, "a"), startMember(s, "b"), startMember(s, "c")}
		time.Sleep(20 * time.Second)
		is.True(allEqual(countOwners(members), 1))
		for _, m := range members {
			is.True(len(m.Held()) > 0)
		}
		closeAll(members)
	})
}

func TestFaultsOfTheHolder(t *testing.T) {
	rows := []struct {
		name  string
		fault func(m *member)
	}{
		{"killed", func(m *member) { m.stop() }},
		{"frozen past its lease", func(m *member) { m.table.freeze() }},
		{"store unavailable", func(m *member) { m.table.unavailable.Store(true) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := emulator.NewStore()
				members := []*member{startMember(s, "a"), startMember(s, "b")}
				time.Sleep(20 * time.Second)
				row.fault(members[0])
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					for _, k := range countOwners(members) {
						is.True(k <= 1) // Two valid owners at once.
					}
				}
				is.True(allEqual(countOwners(members[1:]), 1)) // The other member took over all partitions.
				closeAll(members)
			})
		})
	}
}

func TestThawedHolderGivesUpItsPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		members := []*member{startMember(s, "a"), startMember(s, "b")}
		time.Sleep(20 * time.Second)
		members[0].table.freeze()
		time.Sleep(30 * time.Second)
		is.True(!members[0].Valid())
		members[0].table.thaw()
		time.Sleep(20 * time.Second)
		is.True(allEqual(countOwners(members), 1))
		closeAll(members)
	})
}

func TestLostRepliesOfRenewalsAndSwaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		members := []*member{startMember(s, "a"), startMember(s, "b")}
		members[0].table.loseReplies.Store(true)
		time.Sleep(30 * time.Second)
		is.True(allEqual(countOwners(members), 1))
		is.True(members[0].Valid())
		closeAll(members)
	})
}

func TestLeaveHandsEverythingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		members := []*member{startMember(s, "a"), startMember(s, "b"), startMember(s, "c")}
		time.Sleep(20 * time.Second)
		is.NoErr(members[0].Leave(context.Background()))
		is.Equal(len(members[0].Held()), 0)
		time.Sleep(4 * time.Second)
		is.True(allEqual(countOwners(members[1:]), 1))
		closeAll(members)
	})
}

// TestNeverTwoOwners checks that no partition ever has two valid owners while members
// freeze, lose the store or lose its replies at random.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [3]int {
			return [3]int{rapid.IntRange(0, 2).Draw(t, "member"), rapid.IntRange(0, 5).Draw(t, "fault"), rapid.IntRange(1, 120).Draw(t, "tenths")}
		}), 1, 12).Draw(rt, "steps")
		violation := ""
		synctest.Test(t, func(*testing.T) { violation = runFaults(steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// runFaults injects the faults of the steps, each a member, a fault and a duration in
// tenths of a second. It returns a message if a partition has two valid owners.
func runFaults(steps [][3]int) string {
	s := emulator.NewStore()
	members := []*member{startMember(s, "a"), startMember(s, "b"), startMember(s, "c")}
	defer func() { closeAll(members) }()
	for _, step := range steps {
		m := members[step[0]]
		switch step[1] {
		case 0, 1:
			m.table.freeze()
		case 2:
			m.table.unavailable.Store(true)
		case 3:
			m.table.loseReplies.Store(true)
		default:
			m.table.thaw()
			m.table.unavailable.Store(false)
			m.table.loseReplies.Store(false)
		}
		for range step[2] {
			time.Sleep(100 * time.Millisecond)
			for p, k := range countOwners(members) {
				if k > 1 {
					return fmt.Sprintf("partition %d has %d valid owners", p, k)
				}
			}
		}
	}
	return ""
}

func TestParseRows(t *testing.T) {
	is := is.New(t)
	for _, bad := range []string{``, `{`, `{}`, `{"session":"s"}`, `{"session":"s","address":"a","state":"odd"}`, `[]`} {
		_, err := leaser.ParseMember([]byte(bad))
		is.True(err != nil)
	}
	_, _, err := leaser.ParsePartition("partition/x", []byte(`{}`))
	is.True(err != nil)
	_, _, err = leaser.ParsePartition("partition/00001", []byte(`{`))
	is.True(err != nil)
}

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}
