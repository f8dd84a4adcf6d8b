package simulator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/conductor"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// refusalLimit is the maximum time until a call that needs the store is refused.
const refusalLimit = 2 * time.Second

// TestStoreOutage checks which calls continue and which are refused during a store outage:
// at its start, after the leases have expired, and much later.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dp := newDeployment(declarations(), 3)
		defer dp.close()
		time.Sleep(20 * time.Second)
		ctx := context.Background()
		name := sequencer.Name{Account: "falaj", ID: "order"}
		_, f := dp.nodes[0].conductor.Create(ctx, sequencer.CreateRequest{Name: name, Budget: 10_000})
		is.Equal(f, nil)
		dp.store.SetFaults(emulator.StoreFaults{Down: true})
		time.Sleep(2 * time.Second)
		for i := range 30 {
			n := dp.nodes[i%3]
			_, f := n.conductor.Run(ctx, outageCall(n, "", i))
			is.Equal(f, nil) // A call without a program continues during the outage.
			start := time.Now()
			_, f = n.conductor.Run(ctx, outageCall(n, "order", i))
			is.True(f != nil)
			is.Equal(f.Ran, classifier.RanNo)
			is.True(f.RetryAfterMS > 0)
			if took := time.Since(start); i > 2 && took > refusalLimit {
				t.Errorf("refusal %d (%s) took %v", i, f.Code, took)
			}
			time.Sleep(2 * time.Second)
		}
		dp.store.SetFaults(emulator.StoreFaults{})
		time.Sleep(15 * time.Second)
		_, f = dp.nodes[1].conductor.Run(ctx, outageCall(dp.nodes[1], "order", 99))
		is.Equal(f, nil) // The daemons have recovered.
	})
}

func outageCall(n *node, program string, i int) *conductor.Call {
	target, _ := n.watcher.Snapshot().Target("chat")
	m, _ := json.Marshal(map[string]string{"role": "user", "content": fmt.Sprint("question ", i)})
	return &conductor.Call{
		Account: declarations().Accounts[0], Program: program, Target: target, Hash: fmt.Sprint(i),
		Messages: []json.RawMessage{m}, MaxTokens: answerTokens,
	}
}
