package simulator_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/sequencer"
)

// event is a fault that starts at a time and lasts for a while.
type event struct {
	At    time.Duration
	Kind  string
	Node  int
	Other int
	For   time.Duration
}

// scenario holds the drawn parameters of a test run.
type scenario struct {
	Nodes    int
	Programs [][]step
	Budgets  []int
	Events   []event
}

var eventKinds = []string{
	"kill", "freeze", "freeze", "cut", "cut-both", "cut-table", "cut-table-answers", "store-down", "store-loses",
	"store-slow", "service-loses", "service-hangs", "service-refuses", "engine-breaks", "stop", "add",
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{Nodes: rapid.IntRange(2, 4).Draw(t, "nodes")}
	for range rapid.IntRange(1, 5).Draw(t, "programs") {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				Effect: rapid.Bool().Draw(t, "effect"), Twice: rapid.IntRange(0, 4).Draw(t, "twice") == 0,
				Pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
			}
		}), 1, 8).Draw(t, "steps")
		s.Programs = append(s.Programs, steps)
		s.Budgets = append(s.Budgets, rapid.SampledFrom([]int{60, 200, 5000, 100_000}).Draw(t, "budget"))
	}
	s.Events = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			At:    time.Duration(rapid.IntRange(0, 15_000).Draw(t, "at")) * time.Millisecond,
			Kind:  rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			Node:  rapid.IntRange(0, 5).Draw(t, "node"),
			Other: rapid.IntRange(0, 5).Draw(t, "other"),
			For:   time.Duration(rapid.IntRange(50, 20_000).Draw(t, "for")) * time.Millisecond,
		}
	}), 0, 8).Draw(t, "events")
	return s
}

// activeEvent applies an event to a deployment.
type activeEvent struct {
	event
	deployment *deployment
}

func (a *activeEvent) run() {
	time.Sleep(a.At)
	dp := a.deployment
	nodes := dp.reachableNodes()
	if len(nodes) == 0 {
		return
	}
	n, other := nodes[a.Node%len(nodes)], nodes[a.Other%len(nodes)]
	switch a.Kind {
	case "kill":
		if len(nodes) > 1 {
			dp.killNode(n)
		}
	case "stop":
		if len(nodes) > 1 {
			_ = dp.stopNode(n)
		}
	case "add":
		dp.addNode()
	case "freeze":
		dp.network.freeze(n.address)
		time.Sleep(a.For)
		dp.network.thaw(n.address)
	case "cut", "cut-both":
		a.cutLink(n.address, other.address)
	case "cut-table":
		a.cutLink(n.address, tableEndpoint)
	case "cut-table-answers":
		a.cutLink(tableEndpoint, n.address)
	default:
		a.injectFault()
	}
}

func (a *activeEvent) cutLink(from, to string) {
	nw := a.deployment.network
	nw.setCut(from, to, true)
	nw.setCut(to, from, a.Kind == "cut-both")
	time.Sleep(a.For)
	nw.setCut(from, to, false)
	nw.setCut(to, from, false)
}

func (a *activeEvent) injectFault() {
	dp := a.deployment
	switch a.Kind {
	case "store-down":
		dp.store.SetFaults(emulator.StoreFaults{Down: true})
	case "store-loses":
		dp.store.SetFaults(emulator.StoreFaults{LoseEvery: 2 + a.Other})
	case "store-slow":
		dp.store.SetFaults(emulator.StoreFaults{DelayMS: 100 * (1 + a.Other)})
	case "service-loses":
		dp.targets.setFaults(targetFaults{loseResponses: true})
	case "service-hangs":
		dp.targets.setFaults(targetFaults{hang: true})
	case "service-refuses":
		dp.targets.setFaults(targetFaults{refuse: true})
	case "engine-breaks":
		dp.targets.setFaults(targetFaults{breakAfter: 3})
	}
	time.Sleep(a.For)
	dp.store.SetFaults(emulator.StoreFaults{})
	dp.targets.setFaults(targetFaults{})
}

// runScenario runs a scenario in fake time and returns the first violated guarantee, or an
// empty string.
func runScenario(t *testing.T, s scenario) (violation string) {
	synctest.Test(t, func(*testing.T) {
		dp := newDeployment(declarations(), s.Nodes)
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
		defer cancel()
		var wg sync.WaitGroup
		var clients []*client
		for i, steps := range s.Programs {
			account := declarations().Accounts[i%2].Name
			c := &client{deployment: dp, account: account, id: fmt.Sprintf("p%d", i/2), budget: s.Budgets[i], steps: steps, nextNode: i}
			clients = append(clients, c)
			wg.Go(func() { c.run(ctx) })
		}
		for _, e := range s.Events {
			a := &activeEvent{e, dp}
			wg.Go(a.run)
		}
		wg.Wait()
		dp.network.heal()
		dp.store.SetFaults(emulator.StoreFaults{})
		dp.targets.setFaults(targetFaults{})
		time.Sleep(2 * time.Minute)
		violation = dp.checkGuarantees(clients)
		if violation == "" {
			violation = dp.checkEngineReleased(clients)
		}
		dp.close()
	})
	return violation
}

// checkEngineReleased ends all programs and checks that the engine then holds the cache of
// none.
func (dp *deployment) checkEngineReleased(clients []*client) string {
	for _, c := range clients {
		if !c.created {
			continue
		}
		if _, f := c.node().conductor.End(context.Background(), sequencer.ReadRequest{Name: c.name()}); f != nil {
			return "program cannot be ended: " + f.Error()
		}
	}
	time.Sleep(10 * time.Second)
	dp.targets.mu.Lock()
	defer dp.targets.mu.Unlock()
	if n := len(dp.targets.held); n > 0 {
		return fmt.Sprintf("the engine holds the cache of %d ended programs", n)
	}
	return ""
}

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

func TestPromisesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		if violation := runScenario(t, s); violation != "" {
			rt.Fatalf("%s\n%+v", violation, s)
		}
	})
}

func TestPromisesWithoutFaults(t *testing.T) {
	s := scenario{Nodes: 3, Budgets: []int{5000, 5000}, Programs: [][]step{
		{{}, {Effect: true}, {}, {Effect: true, Twice: true}},
		{{Effect: true}, {}, {Twice: true}},
	}}
	if violation := runScenario(t, s); violation != "" {
		t.Fatal(violation)
	}
}
