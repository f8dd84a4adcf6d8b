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

// desk is an operator's desk beside two daemons.
type desk struct {
	connection
	files string
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	is := is.New(t)
	platform := httptest.NewServer(emulator.NewPlatform(emulator.NewStore()).Handler())
	d := &desk{connection: connection{Platform: strings.TrimPrefix(platform.URL, "http://"), Timeout: 30 * time.Second}, files: t.TempDir()}
	var daemons []*runner.Daemon
	for range 2 {
		x := runner.New(runner.Settings{
			HTTP: freePort(t), RPC: freePort(t), Zone: "tarlac", Platform: d.Platform, Secret: "a-secret-for-tests", Partitions: 4, StopLimitMS: 1000,
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
	return d
}

func freePort(t *testing.T) string {
	t.Helper()
	a, err := emulator.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// file copies the example's declarations with a replacement.
func (d *desk) file(t *testing.T, old, with string) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/dayami-hub.declarations.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(d.files, "declarations.json")
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), old, with, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (d *desk) load(t *testing.T) *configurer.Snapshot {
	t.Helper()
	s, err := configurer.NewRegistry(storer.Dial(d.Platform)).Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestOperatorsCommands(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	ctx := context.Background()
	apply := applyCommand{connection: d.connection, File: d.file(t, "", ""), Who: "salma", Wait: true}
	is.NoErr(apply.Run(ctx)) // It returns once both daemons have it in force.
	is.Equal(d.load(t).Version(), uint64(1))
	is.NoErr(apply.Run(ctx))
	is.Equal(d.load(t).Version(), uint64(1)) // No change, no version.

	drain := drainCommand{connection: d.connection, Replica: "model/tarlac-1", Who: "berto"}
	is.NoErr(drain.Run(ctx))
	_, r, ok := d.load(t).Replica("model/tarlac-1")
	is.True(ok && r.Draining)
	drain.Replica = "model/none"
	is.Equal(classifier.From(drain.Run(ctx)).Code, classifier.NoSuchTarget)

	old := uint64(1)
	late := applyCommand{connection: d.connection, File: d.file(t, `"weight": 8`, `"weight": 9`), Base: &old, Who: "salma", Wait: true}
	err := late.Run(ctx)
	is.Equal(exitCode(err), exitConflict)
	is.True(strings.Contains(err.Error(), "berto changed target/model"))

	rollback := rollbackCommand{connection: d.connection, Version: 1, Who: "salma", Wait: true}
	is.NoErr(rollback.Run(ctx))
	_, r, _ = d.load(t).Replica("model/tarlac-1")
	is.True(!r.Draining)
	is.Equal(d.load(t).Version(), uint64(3))

	is.NoErr((&diffCommand{connection: d.connection, File: late.File}).Run(ctx))
	is.NoErr((&historyCommand{connection: d.connection, Limit: 10}).Run(ctx))
	is.NoErr((&statusCommand{d.connection}).Run(ctx))
	is.Equal(exitCode((&checkCommand{File: d.file(t, `"weight": 8`, `"weight": 0`)}).Run()), exitInvalid)
}

func TestDescribe(t *testing.T) {
	is := is.New(t)
	e := configurer.Edit{Key: "account/a", From: []byte(`{"name":"a","key-sha256":"` + strings.Repeat("a", 64) + `","weight":1}`), To: []byte(`{"name":"a","key-sha256":"` + strings.Repeat("b", 64) + `","weight":2}`)}
	is.Equal(describe(e), "~ account/a: weight 1 → 2") // Key hashes are never shown.
}
