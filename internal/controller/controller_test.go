package controller_test

import (
	"context"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/controller"
	"pimentorail.example/pimentorail/internal/dispatcher"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// fakeEngine ignores or honours fencing numbers and counts the orders that it accepts.
type fakeEngine struct {
	ignoresFence bool
	fence        uint64
	state        controller.State
	orders       int
}

// State implements controller.Engines.
func (e *fakeEngine) State(context.Context, string) (controller.State, error) { return e.state, nil }

// Order implements controller.Engines.
func (e *fakeEngine) Order(_ context.Context, _ string, o controller.Order) error {
	if o.Fence < e.fence && !e.ignoresFence {
		return controller.ErrOldFence
	}
	e.fence = max(e.fence, o.Fence)
	e.state = controller.State{Role: o.Role, Loads: o.Loads}
	e.orders++
	return nil
}

// newOwner returns the controller of a daemon that wants to load one model on the engine.
func newOwner(e *fakeEngine, fence uint64, want string, owns bool) *controller.Controller {
	return controller.New(controller.Options{
		Engines: e,
		Owned: func() []controller.Engine {
			return []controller.Engine{{Replica: "chat/a", Fence: fence, HonoursFence: !e.ignoresFence, DesiredState: controller.State{Role: "mixed", Loads: []string{want}}}}
		},
		Owns: func(controller.Engine) bool { return owns },
	})
}

func TestOldOwnerChangesNothing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := &fakeEngine{ignoresFence: ignore}
			old, current := newOwner(e, 1, "old", !ignore), newOwner(e, 2, "fresh", true)
			for range 10 {
				current.Tick(context.Background())
				old.Tick(context.Background()) // Its lease has expired. If the engine ignores fences, only Owns stops the order.
				time.Sleep(2 * time.Second)
			}
			is.Equal(e.state.Loads, []string{"fresh"})
			is.Equal(e.orders, 1) // No order once the state is the declared one.
		})
	}
}

func TestFirstOrderWaitsIfTheEngineIgnoresFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &fakeEngine{ignoresFence: true}
		c := newOwner(e, 2, "fresh", true)
		c.Tick(context.Background())
		time.Sleep(7 * time.Second)
		c.Tick(context.Background())
		is.Equal(e.orders, 0)
		time.Sleep(time.Second)
		c.Tick(context.Background())
		is.Equal(e.orders, 1)
	})
}

func TestOrdersOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	e := emulator.NewEngine(ctx, emulator.EngineOptions{})
	s := httptest.NewServer(e.Handler())
	t.Cleanup(func() { s.Close(); cancel(); _ = e.Wait() })
	d := dispatcher.New()
	address := strings.TrimPrefix(s.URL, "http://")
	is.NoErr(d.Order(ctx, address, controller.Order{Fence: 5, Role: "decode", Loads: []string{"adapter-1"}}))
	err := d.Order(ctx, address, controller.Order{Fence: 4, Loads: []string{"adapter-0"}})
	is.True(errors.Is(err, controller.ErrOldFence))
	got, err := d.State(ctx, address)
	is.NoErr(err)
	is.Equal(got, controller.State{Role: "decode", Loads: []string{"adapter-1"}})
}
