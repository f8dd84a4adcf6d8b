package trial_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

func declarations() *declarer.Declarations {
	accounts := []declarer.Account{}
	for _, n := range []string{"falaj", "kamalig"} {
		accounts = append(accounts, declarer.Account{
			Name: n, KeyHash: strings.Repeat(fmt.Sprintf("%x", n[0]%16), 64)[:64], Weight: 1, InFlight: 50,
			Targets: []string{"chat", "ledger"}, ProgramBudget: 1_000_000,
		})
	}
	return &declarer.Declarations{
		Accounts: accounts,
		Targets: []declarer.Target{
			{Name: "chat", Kind: declarer.Engine, Window: 8, WindowLimit: 8, Replicas: []declarer.Replica{{Name: "e1", Address: enginePlace, Zone: "z"}}},
			{Name: "ledger", Kind: declarer.Service, TimeoutMS: 2000, Window: 64, WindowLimit: 64, Replicas: []declarer.Replica{{Name: "l1", Address: servicePlace, Zone: "z"}}},
		},
		Policy: declarer.Policy{StoreOutage: declarer.GoOn, QueueLimitMS: 20000, NewProgramLimitMS: 20000, MaxTokens: 100, HoldIdleMS: 60000},
	}
}

// judge returns the first broken promise, empty if all hold.
func (w *deployment) judge(customers []*customer) string {
	counts := map[string]int{}
	spans := map[string]effect{}
	for _, e := range w.targets.effects {
		counts[e.body]++
		spans[e.body] = e
	}
	for _, c := range customers {
		if c.conflict != "" {
			return c.conflict
		}
		if s := c.judgeCalls(counts, spans); s != "" {
			return fmt.Sprintf("%s: %s", c.name(), s)
		}
		if s := w.judgeHistory(c); s != "" {
			return fmt.Sprintf("%s: %s", c.name(), s)
		}
	}
	return ""
}

func (c *customer) judgeCalls(counts map[string]int, spans map[string]effect) string {
	var last time.Time
	for i, s := range c.steps {
		body := c.body(i + 1)
		if counts[body] > 1 {
			return fmt.Sprintf("call %d had its effect %d times", i+1, counts[body])
		}
		if e, ok := spans[body]; ok {
			if e.begin.Before(last) {
				return fmt.Sprintf("call %d ran before an earlier one ended", i+1)
			}
			last = e.end
		}
		if i >= len(c.told) {
			if counts[body] > 0 {
				return fmt.Sprintf("call %d ran and was never made", i+1)
			}
			continue
		}
		t := c.told[i]
		switch {
		case t.ran == classifier.RanYes && !c.whole(i+1, s, t):
			return fmt.Sprintf("call %d brought %q", i+1, t.text)
		case t.ran == classifier.RanYes && s.Effect && counts[body] != 1:
			return fmt.Sprintf("call %d was told to have run, and did not", i+1)
		case t.ran == classifier.RanNo && counts[body] != 0:
			return fmt.Sprintf("call %d was told not to have run (%s), and did", i+1, t.code)
		}
	}
	return ""
}

// judgeHistory reads the program from the deployment and compares it with what was told.
func (w *deployment) judgeHistory(c *customer) string {
	if !c.created {
		return ""
	}
	v, fault := w.read(c)
	if fault != nil {
		return "history can't be read: " + fault.Error()
	}
	var want []string
	for i, t := range c.told {
		if !c.steps[i].Effect && t.ran == classifier.RanYes {
			want = append(want, c.body(i+1), t.text)
		}
	}
	for i, m := range v.Messages {
		var x struct{ Content string }
		_ = json.Unmarshal(m, &x)
		if i < len(want) && x.Content != want[i] {
			return fmt.Sprintf("message %d is %q in place of %q", i, x.Content, want[i])
		}
	}
	if len(v.Messages) < len(want) {
		return fmt.Sprintf("the history has %d messages in place of %d", len(v.Messages), len(want))
	}
	if v.Spent > v.Budget {
		return fmt.Sprintf("spent %d of %d", v.Spent, v.Budget)
	}
	if used := w.targets.generated[c.name().String()]; used > v.Budget {
		return fmt.Sprintf("engines generated %d tokens for a budget of %d", used, v.Budget)
	}
	return ""
}

func (w *deployment) read(c *customer) (*sequencer.View, *classifier.Fault) {
	var fault *classifier.Fault
	for range 10 {
		n := c.node()
		if n == nil {
			return nil, classifier.New(classifier.OwnerAway, classifier.RanNo, "no node lives")
		}
		v, f := n.conductor.Read(context.Background(), sequencer.ReadRequest{Name: c.name(), History: true})
		if f == nil {
			return v, nil
		}
		fault = f
		time.Sleep(time.Second)
	}
	return nil, fault
}
