package trial_test

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
	leavingAddress = "service-that-leaves"
	leavingLimit   = 3 * time.Second
)

func twoLedgers() *declarer.Declarations {
	d := declarations()
	d.Targets[1].Replicas = append(d.Targets[1].Replicas, declarer.Replica{Name: "l2", Address: leavingAddress, Zone: "z"})
	return d
}

// TestLeavingTargetGetsNoNewWork lets a replica leave by the platform's list or
// by an operator's drain, under load through all daemons.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for _, way := range []string{"list of VMs", "drain"} {
		t.Run(way, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newDeployment(twoLedgers(), 4)
				defer w.close()
				time.Sleep(10 * time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
				defer cancel()
				var wait sync.WaitGroup
				for i := range 12 {
					steps := make([]step, 30)
					for k := range steps {
						steps[k].Effect = true
					}
					c := &customer{deployment: w, account: "falaj", id: fmt.Sprint("order-", i), budget: 5000, steps: steps, turn: i}
					wait.Go(func() { c.run(ctx) })
				}
				time.Sleep(5 * time.Second)
				left := time.Now()
				if way == "drain" {
					is.NoErr(drain(ctx, w))
				} else {
					w.store.SetMachines([]storer.Machine{{Address: leavingAddress, Leaving: true}})
				}
				wait.Wait()
				before := 0
				for _, e := range w.targets.effects {
					if e.address != leavingAddress {
						continue
					}
					before++
					if late := e.begin.Sub(left); late > leavingLimit {
						t.Errorf("new work after %v", late)
					}
				}
				is.True(before > 10) // It had work until then.
				is.Equal(len(w.targets.effects), 12*30)
			})
		})
	}
}

func drain(ctx context.Context, w *deployment) error {
	g := configurer.NewRegistry(w.store)
	s, err := g.Load(ctx)
	if err != nil {
		return err
	}
	d, err := s.Declarations()
	if err != nil {
		return err
	}
	d.SetDraining("ledger/l2", true)
	_, err = g.Apply(ctx, s, d, "salma", "")
	return err
}
