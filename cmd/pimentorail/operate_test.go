package main

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/runner"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// fixture is a fake platform with two daemons and the flags to connect to it.
type fixture struct {
	connection
	dir string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	is := is.New(t)
	platform := httptest.NewServer(emulator.NewPlatform(emulator.NewStore()).Handler())
	f := &fixture{connection: connection{Platform: strings.TrimPrefix(platform.URL, "http://"), Timeout: 30 * time.Second}, dir: t.TempDir()}
	var daemons []*runner.Daemon
	for range 2 {
		x := runner.New(runner.Settings{
			HTTP: freePort(t), RPC: freePort(t), Zone: "tarlac", Platform: f.Platform, Secret: "a-secret-for-tests", Partitions: 4, StopLimitMS: 1000,
		})
		is.NoErr(x.Start(context.Background()))
		daemons = append(daemons, x)
	}
	t.Cleanup(func() {
		for _, x := range daemons {
			x.Kill()
		}
		platform.Close()
	})
	return f
}

func freePort(t *testing.T) string {
	t.Helper()
	a, err := emulator.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// declarationsFile writes the example declarations with one replacement and returns the
// path.
func (f *fixture) declarationsFile(t *testing.T, old, with string) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/dayami-hub.declarations.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(f.dir, "declarations.json")
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), old, with, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (f *fixture) snapshot(t *testing.T) *configurer.Snapshot {
	t.Helper()
	s, err := configurer.NewRepository(storer.NewClient(f.Platform)).Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ctx := context.Background()
	apply := applyCommand{connection: f.connection, File: f.declarationsFile(t, "", ""), Who: "salma", Wait: true}
	is.NoErr(apply.Run(ctx)) // Returns once the version is in force on both daemons.
	is.Equal(f.snapshot(t).Version(), uint64(1))
	is.NoErr(apply.Run(ctx))
	is.Equal(f.snapshot(t).Version(), uint64(1)) // Unchanged declarations make no new version.

	drain := drainCommand{connection: f.connection, Replica: "model/tarlac-1", Who: "berto"}
	is.NoErr(drain.Run(ctx))
	_, r, ok := f.snapshot(t).Replica("model/tarlac-1")
	is.True(ok && r.Draining)
	drain.Replica = "model/none"
	is.Equal(classifier.From(drain.Run(ctx)).Code, classifier.NoSuchTarget)

	old := uint64(1)
	conflicting := applyCommand{connection: f.connection, File: f.declarationsFile(t, `"weight": 8`, `"weight": 9`), Base: &old, Who: "salma", Wait: true}
	err := conflicting.Run(ctx)
	is.Equal(exitCode(err), exitConflict)
	is.True(strings.Contains(err.Error(), "berto changed target/model"))

	rollback := rollbackCommand{connection: f.connection, Version: 1, Who: "salma", Wait: true}
	is.NoErr(rollback.Run(ctx))
	_, r, _ = f.snapshot(t).Replica("model/tarlac-1")
	is.True(!r.Draining)
	is.Equal(f.snapshot(t).Version(), uint64(3))

	is.NoErr((&diffCommand{connection: f.connection, File: conflicting.File}).Run(ctx))
	is.NoErr((&historyCommand{connection: f.connection, Limit: 10}).Run(ctx))
	is.NoErr((&statusCommand{f.connection}).Run(ctx))
	is.Equal(exitCode((&checkCommand{File: f.declarationsFile(t, `"weight": 8`, `"weight": 0`)}).Run()), exitInvalid)
}

func TestDescribeMasksKeyHashes(t *testing.T) {
	is := is.New(t)
	e := configurer.Edit{Key: "account/a", From: []byte(`{"name":"a","key-sha256":"` + strings.Repeat("a", 64) + `","weight":1}`), To: []byte(`{"name":"a","key-sha256":"` + strings.Repeat("b", 64) + `","weight":2}`)}
	is.Equal(describe(e), "~ account/a: weight 1 → 2") // The changed key hash is masked.
}
