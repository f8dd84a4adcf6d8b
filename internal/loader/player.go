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
	programBudget = 200_000
	lookupPause   = 500 * time.Millisecond
	lookupTries   = 6
)

// Options configures a run.
type Options struct {
	Base string
	// Keys are the bearer keys of the accounts.
	Keys []string
	Plan []Program
	// Services are the addresses of the service stand-ins whose effects are judged.
	Services []string
	// Patience bounds one program.
	Patience time.Duration
}

// player runs a plan.
type player struct {
	o        Options
	clients  []*caller.Client
	recorder *recorder
	wait     sync.WaitGroup
}

// Play runs a plan and reports what came of it.
func Play(ctx context.Context, o Options) (Report, error) {
	p := &player{o: o, recorder: newRecorder(len(o.Plan))}
	tr := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute}
	defer tr.CloseIdleConnections()
	for _, k := range o.Keys {
		p.clients = append(p.clients, caller.New(caller.Options{Base: o.Base, Key: k, HTTP: &http.Client{Transport: tr}}))
	}
	start := time.Now()
	for i := range o.Plan {
		g := &game{player: p, program: &o.Plan[i], ctx: ctx, start: start}
		p.wait.Go(g.run)
	}
	p.wait.Wait()
	took := time.Since(start)
	effects, err := p.effects(ctx)
	if err != nil {
		return Report{}, err
	}
	if len(o.Services) > 0 {
		p.recorder.judge(effects)
	}
	return p.recorder.close(took), nil
}

// effects adds up the effects at all services.
func (p *player) effects(ctx context.Context) (map[string]int, error) {
	sum := map[string]int{}
	for _, a := range p.o.Services {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a+"/effects", nil)
		if err != nil {
			return nil, errors.Wrap(err, "effects")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, errors.Wrap(err, "effects")
		}
		one := map[string]int{}
		err = json.NewDecoder(resp.Body).Decode(&one)
		_ = resp.Body.Close()
		if err != nil {
			return nil, errors.Wrap(err, "effects")
		}
		for k, n := range one {
			sum[k] += n
		}
	}
	return sum, nil
}

// game is one program under way.
type game struct {
	player  *player
	program *Program
	ctx     context.Context
	start   time.Time
}

func (g *game) run() {
	select {
	case <-time.After(time.Until(g.start.Add(g.program.Arrival))):
	case <-g.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, g.player.o.Patience)
	defer cancel()
	begin := time.Now()
	client := g.player.clients[g.program.Account%len(g.player.clients)]
	err := g.play(ctx, client, caller.ProgramOptions{ID: g.program.ID, Budget: programBudget}, g.program.Steps)
	if err != nil {
		g.player.recorder.failed(err)
		return
	}
	g.player.recorder.finished(g.program, time.Since(begin))
}

// play runs the steps of a program and checks its history at the end.
func (g *game) play(ctx context.Context, client *caller.Client, o caller.ProgramOptions, steps []Step) error {
	p, err := client.Create(ctx, o)
	if err != nil {
		return err
	}
	var history []caller.Message
	helpers := 0
	for _, s := range steps {
		switch s.Kind {
		case Ask:
			text, err := g.ask(ctx, p, s)
			if err != nil {
				return err
			}
			history = append(history, caller.Message{Role: "user", Content: s.Text}, caller.Message{Role: "assistant", Content: text})
		case Lookup, Effect:
			if err := g.call(ctx, p, s); err != nil {
				return err
			}
		case Helper:
			helpers++
			sub := caller.ProgramOptions{ID: fmt.Sprintf("h%d", helpers), Parent: p.ID()}
			if err := g.play(ctx, client, sub, s.Steps); err != nil {
				return err
			}
		case Thought:
			time.Sleep(s.Pause)
		}
	}
	return g.close(ctx, p, history)
}

func (g *game) ask(ctx context.Context, p *caller.Program, s Step) (string, error) {
	begin := time.Now()
	seen := false
	text, err := p.Ask(ctx, s.Target, []caller.Message{{Role: "user", Content: s.Text}}, 0, func(caller.Piece) {
		if !seen {
			seen = true
			g.player.recorder.firstToken(time.Since(begin))
		}
	})
	if err != nil {
		return "", err
	}
	if want := emulator.AnswerTo(s.Text, s.Tokens); text != want {
		g.player.recorder.broke("program %s: the answer has %d bytes in place of %d, or is another's", p.ID(), len(text), len(want))
	}
	g.player.recorder.tokens(strings.Count(text, " "), emulator.CountTokens(s.Text))
	return text, nil
}

// call makes a service call; an unknown outcome is asked for later.
func (g *game) call(ctx context.Context, p *caller.Program, s Step) error {
	number, err := p.CallNumber(ctx, s.Target, []byte(s.Text))
	if s.Kind == Lookup {
		return err
	}
	ran := classifier.RanYes
	if err != nil {
		ran = classifier.From(err).Ran
	}
	if ran == classifier.RanUnknown {
		ran = g.later(ctx, p, number)
	}
	g.player.recorder.told(s.Text, s.Target, ran)
	if err != nil && classifier.From(err).Code != classifier.OutcomeUnknown {
		return err
	}
	return nil
}

// later asks for an outcome that is unknown for now.
func (g *game) later(ctx context.Context, p *caller.Program, number int) classifier.Ran {
	for range lookupTries {
		_, err := p.Outcome(ctx, number)
		if err == nil {
			return classifier.RanYes
		}
		select {
		case <-time.After(lookupPause):
		case <-ctx.Done():
			return classifier.RanUnknown
		}
	}
	return classifier.RanUnknown
}

// close compares the kept history with what was said, and ends the program.
func (g *game) close(ctx context.Context, p *caller.Program, history []caller.Message) error {
	v, err := p.View(ctx, true)
	if err != nil {
		return err
	}
	for i, m := range history {
		if i >= len(v.Messages) || v.Messages[i] != m {
			g.player.recorder.lostTurns(1)
			g.player.recorder.broke("program %s: message %d is lost or another's", p.ID(), i)
			break
		}
	}
	if len(v.Messages) > len(history) {
		g.player.recorder.broke("program %s: the history has %d messages in place of %d", p.ID(), len(v.Messages), len(history))
	}
	if v.Spent > v.Budget && v.Budget > 0 {
		g.player.recorder.broke("program %s: spent %d of %d", p.ID(), v.Spent, v.Budget)
	}
	return p.End(ctx)
}
