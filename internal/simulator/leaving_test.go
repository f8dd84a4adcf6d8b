package simulator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/storer"
)

const (
	leavingAddress  = "service-that-leaves"
	maxLeavingDelay = 3 * time.Second
)

func declarationsWithTwoLedgers() *declarer.Declarations {
	d := declarations()
	d.Targets[1].Replicas = append(d.Targets[1].Replicas, declarer.Replica{Name: "l2", Address: leavingAddress, Zone: "z"})
	return d
}

// TestLeavingTargetGetsNoNewWork removes a replica through the platform's list of VMs or
// through an operator's drain, under load through all daemons. No call may start at the
// replica more than maxLeavingDelay later.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for _, cause := range []string{"list of VMs", "drain"} {
		t.Run(cause, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				dp := newDeployment(declarationsWithTwoLedgers(), 4)
				defer dp.close()
				time.Sleep(10 * time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
				defer cancel()
				var wg sync.WaitGroup
				for i := range 12 {
					steps := make([]step, 30)
					for k := range steps {
						steps[k].Effect = true
					}
					c := &client{deployment: dp, account: "falaj", id: fmt.Sprint("order-", i), budget: 5000, steps: steps, nextNode: i}
					wg.Go(func() { c.run(ctx) })
				}
				time.Sleep(5 * time.Second)
				leftAt := time.Now()
				if cause == "drain" {
					is.NoErr(drainReplica(ctx, dp))
				} else {
					dp.store.SetVMs([]storer.VM{{Address: leavingAddress, Leaving: true}})
				}
				wg.Wait()
				calls := 0
				for _, e := range dp.targets.effects {
					if e.address != leavingAddress {
						continue
					}
					calls++
					if late := e.begin.Sub(leftAt); late > maxLeavingDelay {
						t.Errorf("call started at the leaving replica after %v", late)
					}
				}
				is.True(calls > 10) // The replica got calls before it left.
				is.Equal(len(dp.targets.effects), 12*30)
			})
		})
	}
}

func drainReplica(ctx context.Context, dp *deployment) error {
	rg := configurer.NewRepository(dp.store)
	s, err := rg.Load(ctx)
	if err != nil {
		return err
	}
	d, err := s.Declarations()
	if err != nil {
		return err
	}
	d.SetDraining("ledger/l2", true)
	_, err = rg.Apply(ctx, s, d, "salma", "")
	return err
}
