package loader_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/loader"
)

func options(seed uint64) loader.PlanOptions {
	return loader.PlanOptions{Seed: seed, Programs: 500, Accounts: 12, ArrivalPeriod: 10 * time.Second, StragglerFraction: 0.05, StragglerFactor: 50, BurstFactor: 6}
}

func TestSameSeedSamePlan(t *testing.T) {
	is := is.New(t)
	is.True(reflect.DeepEqual(loader.Plan(options(1)), loader.Plan(options(1))))
	is.True(!reflect.DeepEqual(loader.Plan(options(1)), loader.Plan(options(2))))
}

func TestPlanDistribution(t *testing.T) {
	is := is.New(t)
	plan := loader.Plan(options(3))
	long, inBurst, last := 0, 0, time.Duration(0)
	accounts := map[int]int{}
	for _, p := range plan {
		is.True(p.Arrival >= last && p.Arrival <= 10*time.Second)
		last = p.Arrival
		accounts[p.Account]++
		if p.Straggler {
			long++
		}
		if p.Arrival >= 4*time.Second && p.Arrival < 6*time.Second {
			inBurst++
		}
	}
	is.True(long > 5 && long < 60)
	is.True(inBurst > 250) // The middle fifth has six times the arrivals: 60 percent of all.
	is.True(accounts[0] > 3*accounts[8])
}
