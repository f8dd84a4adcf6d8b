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

// quiet observes nothing.
type quiet struct{}

func (quiet) Gained(leaser.Fence)              {}
func (quiet) Lost(int)                         {}
func (quiet) Drain(context.Context, int) error { return nil }

// link is the table as one member reaches it.
type link struct {
	*emulator.Store
	cut    atomic.Bool
	lose   atomic.Bool
	mu     sync.Mutex
	frozen chan struct{}
}

func (l *link) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen == nil {
		l.frozen = make(chan struct{})
	}
}

func (l *link) thaw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen != nil {
		close(l.frozen)
		l.frozen = nil
	}
}

func (l *link) enter() error {
	l.mu.Lock()
	frozen := l.frozen
	l.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	if l.cut.Load() {
		return storer.ErrUnavailable
	}
	return nil
}

// Get implements storer.Table.
func (l *link) Get(ctx context.Context, key string) (storer.Row, error) {
	if err := l.enter(); err != nil {
		return storer.Row{}, err
	}
	return l.Store.Get(ctx, key)
}

// Scan implements storer.Table.
func (l *link) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := l.enter(); err != nil {
		return nil, err
	}
	return l.Store.Scan(ctx, prefix, after, limit)
}

// Commit implements storer.Table.
func (l *link) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	if err := l.enter(); err != nil {
		return 0, err
	}
	v, err := l.Store.Commit(ctx, tx)
	if l.lose.Load() && err == nil {
		return 0, errors.Wrap(storer.ErrUnavailable, "lost")
	}
	return v, err
}

// member is a leaser with its link.
type member struct {
	*leaser.Leaser
	link *link
	end  context.CancelFunc
}

func start(s *emulator.Store, name string) *member {
	m := &member{link: &link{Store: s}}
	m.Leaser = leaser.New(leaser.Options{Table: m.link, Session: name, Address: name, Zone: "z", Partitions: partitions, Observer: quiet{}})
	ctx, cancel := context.WithCancel(context.Background())
	m.end = cancel
	m.Start(ctx)
	return m
}

// owners counts the members that own each partition under a valid lease, once
// all work of this instant is done.
func owners(members []*member) [partitions]int {
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

func each(n [partitions]int, want int) bool {
	for _, k := range n {
		if k != want {
			return false
		}
	}
	return true
}

func closeAll(members []*member) {
	for _, m := range members {
		m.link.thaw()
		m.end()
		_ = m.Wait()
	}
}

func TestEveryPartitionHasOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		members := []*member{start(s, "a"), start(s, "b"), start(s, "c")}
		time.Sleep(20 * time.Second)
		is.True(each(owners(members), 1))
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
		{"killed", func(m *member) { m.end() }},
		{"frozen past its lease", func(m *member) { m.link.freeze() }},
		{"cut from the store", func(m *member) { m.link.cut.Store(true) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := emulator.NewStore()
				members := []*member{start(s, "a"), start(s, "b")}
				time.Sleep(20 * time.Second)
				row.fault(members[0])
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					for _, k := range owners(members) {
						is.True(k <= 1) // Two valid owners at once.
					}
				}
				is.True(each(owners(members[1:]), 1)) // The other one took everything over.
				closeAll(members)
			})
		})
	}
}

func TestThawedHolderGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		members := []*member{start(s, "a"), start(s, "b")}
		time.Sleep(20 * time.Second)
		members[0].link.freeze()
		time.Sleep(30 * time.Second)
		is.True(!members[0].Valid())
		members[0].link.thaw()
		time.Sleep(20 * time.Second)
		is.True(each(owners(members), 1))
		closeAll(members)
	})
}

func TestLostAnswersOfRenewalsAndSwaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		members := []*member{start(s, "a"), start(s, "b")}
		members[0].link.lose.Store(true)
		time.Sleep(30 * time.Second)
		is.True(each(owners(members), 1))
		is.True(members[0].Valid())
		closeAll(members)
	})
}

func TestLeaveHandsEverythingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		members := []*member{start(s, "a"), start(s, "b"), start(s, "c")}
		time.Sleep(20 * time.Second)
		is.NoErr(members[0].Leave(context.Background()))
		is.Equal(len(members[0].Held()), 0)
		time.Sleep(4 * time.Second)
		is.True(each(owners(members[1:]), 1))
		closeAll(members)
	})
}

// TestNeverTwoOwners draws freezes, cuts and lost answers and looks at the owners all the time.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [3]int {
			return [3]int{rapid.IntRange(0, 2).Draw(t, "member"), rapid.IntRange(0, 5).Draw(t, "fault"), rapid.IntRange(1, 120).Draw(t, "tenths")}
		}), 1, 12).Draw(rt, "steps")
		broken := ""
		synctest.Test(t, func(*testing.T) { broken = playOwners(steps) })
		if broken != "" {
			rt.Fatal(broken)
		}
	})
}

func playOwners(steps [][3]int) string {
	s := emulator.NewStore()
	members := []*member{start(s, "a"), start(s, "b"), start(s, "c")}
	defer func() { closeAll(members) }()
	for _, step := range steps {
		m := members[step[0]]
		switch step[1] {
		case 0, 1:
			m.link.freeze()
		case 2:
			m.link.cut.Store(true)
		case 3:
			m.link.lose.Store(true)
		default:
			m.link.thaw()
			m.link.cut.Store(false)
			m.link.lose.Store(false)
		}
		for range step[2] {
			time.Sleep(100 * time.Millisecond)
			for p, k := range owners(members) {
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
