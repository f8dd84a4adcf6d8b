package simulator_test

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/dispatcher"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	tokenTime       = 30 * time.Millisecond
	serviceTime     = 400 * time.Millisecond
	serviceEndpoint = "service"
	engineEndpoint  = "engine"
)

// targetFaults selects the faults that the targets inject.
type targetFaults struct {
	loseResponses bool
	hang          bool
	refuse        bool
	breakAfter    int
}

// sideEffect is an effect of a call at a service replica, with its start and end.
type sideEffect struct {
	address string
	body    string
	begin   time.Time
	end     time.Time
}

// targets holds the state of the fake engine and service, which all nodes share.
type targets struct {
	mu        sync.Mutex
	faults    targetFaults
	effects   []sideEffect
	generated map[string]int
	held      map[string]bool
}

func newTargets() *targets {
	return &targets{generated: map[string]int{}, held: map[string]bool{}}
}

func (t *targets) setFaults(f targetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

func (t *targets) currentFaults() targetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// nodeTargets is the targets as seen from one node.
type nodeTargets struct {
	*targets
	network *network
	from    string
}

func newError(code classifier.Code, ran classifier.Ran, text string) error {
	return &dispatcher.Error{Code: code, Ran: ran, Cause: errors.New(text)}
}

// Model implements conductor.Targets.
func (r *nodeTargets) Model(ctx context.Context, _ string, q dispatcher.ModelRequest, sink dispatcher.Sink) (dispatcher.ModelResult, error) {
	if r.network.transmit(ctx, r.from, engineEndpoint) != nil {
		return dispatcher.ModelResult{}, newError(classifier.TargetAway, classifier.RanNo, "engine not reachable")
	}
	f := r.currentFaults()
	if f.refuse {
		return dispatcher.ModelResult{}, newError(classifier.TargetRefused, classifier.RanNo, "engine refuses")
	}
	var last, message struct{ Content string }
	prompt := 0
	for _, m := range q.Messages {
		_ = json.Unmarshal(m, &message)
		prompt += emulator.CountTokens(message.Content)
		last = message
	}
	want := min(answerTokens, q.MaxTokens)
	text := emulator.AnswerTo(last.Content, want)
	r.mu.Lock()
	r.held[q.HoldProgram] = true
	r.generated[q.HoldProgram] += want
	r.mu.Unlock()
	if f.breakAfter > 0 || f.hang {
		time.Sleep(tokenTime * time.Duration(f.breakAfter))
		return dispatcher.ModelResult{}, newError(classifier.TargetBroken, classifier.RanUnknown, "stream broken")
	}
	time.Sleep(tokenTime * time.Duration(want))
	if err := r.network.transmit(ctx, engineEndpoint, r.from); err != nil || !r.network.waitWhileFrozen(r.from) {
		return dispatcher.ModelResult{}, newError(classifier.TargetBroken, classifier.RanUnknown, "answer lost")
	}
	if sink != nil {
		sink(text)
	}
	finish := "stop"
	if want < answerTokens {
		finish = "length"
	}
	return dispatcher.ModelResult{Text: text, Finish: finish, PromptTokens: prompt, CompletionTokens: want, TimeToFirstToken: tokenTime, TokenGap: tokenTime, Duration: tokenTime * time.Duration(want)}, nil
}

// Service implements conductor.Targets.
func (r *nodeTargets) Service(ctx context.Context, address string, q dispatcher.ServiceRequest) (dispatcher.ServiceResult, error) {
	if r.network.transmit(ctx, r.from, serviceEndpoint) != nil {
		return dispatcher.ServiceResult{}, newError(classifier.TargetAway, classifier.RanNo, "service not reachable")
	}
	if !q.Valid() {
		return dispatcher.ServiceResult{}, newError(classifier.TicketExpired, classifier.RanNo, "ticket expired")
	}
	f := r.currentFaults()
	if f.refuse {
		return dispatcher.ServiceResult{}, newError(classifier.TargetRefused, classifier.RanNo, "service refuses")
	}
	begin := time.Now()
	time.Sleep(serviceTime)
	r.mu.Lock()
	r.effects = append(r.effects, sideEffect{address, string(q.Body), begin, time.Now()})
	r.mu.Unlock()
	if f.hang {
		<-ctx.Done()
		return dispatcher.ServiceResult{}, newError(classifier.TargetTimeout, classifier.RanUnknown, "service hangs")
	}
	if f.loseResponses || r.network.transmit(ctx, serviceEndpoint, r.from) != nil || !r.network.waitWhileFrozen(r.from) {
		return dispatcher.ServiceResult{}, newError(classifier.TargetBroken, classifier.RanUnknown, "response lost")
	}
	return dispatcher.ServiceResult{Status: 200, Body: append([]byte("did "), q.Body...)}, nil
}

// Cancel implements conductor.Targets.
func (r *nodeTargets) Cancel(string, string) {}

// HeldPrograms implements reaper.Engines.
func (r *nodeTargets) HeldPrograms(ctx context.Context, _ string) ([]string, error) {
	if err := r.network.transmit(ctx, r.from, engineEndpoint); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for n := range r.held {
		names = append(names, n)
	}
	return names, nil
}

// ReleaseProgram implements reaper.Engines.
func (r *nodeTargets) ReleaseProgram(ctx context.Context, _, program string) error {
	if err := r.network.transmit(ctx, r.from, engineEndpoint); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, program)
	return nil
}
