package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/pkg/caller"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	programBudget       = 200_000
	outcomePollInterval = 500 * time.Millisecond
	maxOutcomePolls     = 6
)

// Options configures Play.
type Options struct {
	BaseURL string
	// Keys are the bearer keys of the accounts.
	Keys []string
	Plan []Program
	// Services are the addresses of the fake services whose effects are checked.
	Services []string
	// Timeout is the timeout of one program.
	Timeout time.Duration
}

// player runs the programs of a plan concurrently.
type player struct {
	options  Options
	clients  []*caller.Client
	recorder *recorder
	programs sync.WaitGroup
}

// Play runs a plan and returns its report.
func Play(ctx context.Context, o Options) (Report, error) {
	p := &player{options: o, recorder: newRecorder(len(o.Plan))}
	tr := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute}
	defer tr.CloseIdleConnections()
	for _, k := range o.Keys {
		p.clients = append(p.clients, caller.New(caller.Options{Base: o.BaseURL, Key: k, HTTP: &http.Client{Transport: tr}}))
	}
	start := time.Now()
	for i := range o.Plan {
		r := &programRun{player: p, program: &o.Plan[i], ctx: ctx, start: start}
		p.programs.Go(r.run)
	}
	p.programs.Wait()
	took := time.Since(start)
	effects, err := p.fetchEffects(ctx)
	if err != nil {
		return Report{}, err
	}
	if len(o.Services) > 0 {
		p.recorder.checkEffects(effects)
	}
	return p.recorder.result(took), nil
}

// fetchEffects returns how often the effect of each call was performed, summed over all
// services.
func (p *player) fetchEffects(ctx context.Context) (map[string]int, error) {
	total := map[string]int{}
	for _, a := range p.options.Services {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a+"/effects", nil)
		if err != nil {
			return nil, errors.Wrap(err, "effects")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, errors.Wrap(err, "effects")
		}
		effects := map[string]int{}
		err = json.NewDecoder(resp.Body).Decode(&effects)
		_ = resp.Body.Close()
		if err != nil {
			return nil, errors.Wrap(err, "effects")
		}
		for k, n := range effects {
			total[k] += n
		}
	}
	return total, nil
}

// programRun is a program in progress.
type programRun struct {
	player  *player
	program *Program
	ctx     context.Context
	start   time.Time
}

func (r *programRun) run() {
	select {
	case <-time.After(time.Until(r.start.Add(r.program.Arrival))):
	case <-r.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.player.options.Timeout)
	defer cancel()
	begin := time.Now()
	client := r.player.clients[r.program.Account%len(r.player.clients)]
	err := r.runSteps(ctx, client, caller.ProgramOptions{ID: r.program.ID, Budget: programBudget}, r.program.Steps)
	if err != nil {
		r.player.recorder.programFailed(err)
		return
	}
	r.player.recorder.programFinished(r.program, time.Since(begin))
}

// runSteps runs the steps of a program, then checks its history and ends it.
func (r *programRun) runSteps(ctx context.Context, client *caller.Client, o caller.ProgramOptions, steps []Step) error {
	p, err := client.Create(ctx, o)
	if err != nil {
		return err
	}
	var history []caller.Message
	subAgents := 0
	for _, s := range steps {
		switch s.Kind {
		case Ask:
			text, err := r.ask(ctx, p, s)
			if err != nil {
				return err
			}
			history = append(history, caller.Message{Role: "user", Content: s.Text}, caller.Message{Role: "assistant", Content: text})
		case Lookup, Effect:
			if err := r.call(ctx, p, s); err != nil {
				return err
			}
		case SubAgent:
			subAgents++
			subOptions := caller.ProgramOptions{ID: fmt.Sprintf("h%d", subAgents), Parent: p.ID()}
			if err := r.runSteps(ctx, client, subOptions, s.Steps); err != nil {
				return err
			}
		case Pause:
			time.Sleep(s.Pause)
		}
	}
	return r.verifyAndEnd(ctx, p, history)
}

func (r *programRun) ask(ctx context.Context, p *caller.Program, s Step) (string, error) {
	begin := time.Now()
	gotToken := false
	text, err := p.Ask(ctx, s.Target, []caller.Message{{Role: "user", Content: s.Text}}, 0, func(caller.Piece) {
		if !gotToken {
			gotToken = true
			r.player.recorder.recordFirstToken(time.Since(begin))
		}
	})
	if err != nil {
		return "", err
	}
	if want := emulator.AnswerTo(s.Text, s.Tokens); text != want {
		r.player.recorder.violation("program %s: the answer (%d bytes) differs from the expected one (%d bytes)", p.ID(), len(text), len(want))
	}
	r.player.recorder.addTokens(strings.Count(text, " "), emulator.CountTokens(s.Text))
	return text, nil
}

// call makes a service call and polls its outcome if that is unknown at first.
func (r *programRun) call(ctx context.Context, p *caller.Program, s Step) error {
	number, err := p.CallNumber(ctx, s.Target, []byte(s.Text))
	if s.Kind == Lookup {
		return err
	}
	ran := classifier.RanYes
	if err != nil {
		ran = classifier.From(err).Ran
	}
	if ran == classifier.RanUnknown {
		ran = r.pollOutcome(ctx, p, number)
	}
	r.player.recorder.effectReported(s.Text, s.Target, ran)
	if err != nil && classifier.From(err).Code != classifier.OutcomeUnknown {
		return err
	}
	return nil
}

// pollOutcome polls for the outcome of a call until it is known, at most maxOutcomePolls times.
func (r *programRun) pollOutcome(ctx context.Context, p *caller.Program, number int) classifier.Ran {
	for range maxOutcomePolls {
		_, err := p.Outcome(ctx, number)
		if err == nil {
			return classifier.RanYes
		}
		select {
		case <-time.After(outcomePollInterval):
		case <-ctx.Done():
			return classifier.RanUnknown
		}
	}
	return classifier.RanUnknown
}

// verifyAndEnd compares the persisted history with the messages exchanged, checks the
// budget and ends the program.
func (r *programRun) verifyAndEnd(ctx context.Context, p *caller.Program, history []caller.Message) error {
	v, err := p.View(ctx, true)
	if err != nil {
		return err
	}
	for i, m := range history {
		if i >= len(v.Messages) || v.Messages[i] != m {
			r.player.recorder.addLostTurns(1)
			r.player.recorder.violation("program %s: message %d is missing or differs", p.ID(), i)
			break
		}
	}
	if len(v.Messages) > len(history) {
		r.player.recorder.violation("program %s: the history has %d messages, want %d", p.ID(), len(v.Messages), len(history))
	}
	if v.Spent > v.Budget && v.Budget > 0 {
		r.player.recorder.violation("program %s: %d tokens spent of a budget of %d", p.ID(), v.Spent, v.Budget)
	}
	return p.End(ctx)
}
