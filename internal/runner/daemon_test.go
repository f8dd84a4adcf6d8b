package runner_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/runner"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/pkg/caller"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const key = "a-key-of-the-falaj"

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// fixture is a deployment on the loopback interface.
type fixture struct {
	store    *emulator.Store
	engine   *emulator.Engine
	tool     *emulator.Tool
	daemons  []*runner.Daemon
	bases    []string
	platform string
}

func hashOf(k string) string {
	sum := sha256.Sum256([]byte(k))
	return hex.EncodeToString(sum[:])
}

func hostPort(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := emulator.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newFixture(t *testing.T, daemons int) *fixture {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	fx := &fixture{store: emulator.NewStore(), tool: emulator.NewTool(time.Millisecond)}
	fx.engine = emulator.NewEngine(ctx, emulator.EngineOptions{TokenGap: time.Millisecond})
	platform := httptest.NewServer(emulator.NewPlatform(fx.store).Handler())
	engine := httptest.NewServer(fx.engine.Handler())
	tool := httptest.NewServer(fx.tool.Handler())
	fx.platform = hostPort(platform)
	replica := func(s *httptest.Server) []declarer.Replica {
		return []declarer.Replica{{Name: "r1", Address: hostPort(s), Zone: "sohar"}}
	}
	account := func(name, k string) declarer.Account {
		return declarer.Account{Name: name, KeyHash: hashOf(k), Weight: 1, InFlight: 20, Targets: []string{"chat", "ledger"}, ProgramBudget: 100_000}
	}
	d := &declarer.Declarations{
		Accounts: []declarer.Account{account("falaj", key), account("kamalig", "another-key")},
		Targets: []declarer.Target{
			{Name: "chat", Kind: declarer.Engine, Window: 8, WindowLimit: 16, Replicas: replica(engine)},
			{Name: "ledger", Kind: declarer.Service, TimeoutMS: 2000, Window: 8, WindowLimit: 16, Replicas: replica(tool)},
		},
		Policy: declarer.Policy{StoreOutage: declarer.ContinueStateless, QueueLimitMS: 20_000, NewProgramLimitMS: 20_000, MaxTokens: 256, HoldIdleMS: 60_000},
	}
	g := configurer.NewRepository(fx.store)
	empty, err := g.Load(ctx)
	is.NoErr(err)
	_, err = g.Apply(ctx, empty, d, "test", "")
	is.NoErr(err)
	for range daemons {
		base := freeAddress(t)
		x := runner.New(runner.Settings{
			HTTP: base, RPC: freeAddress(t), Zone: "sohar", Platform: fx.platform, Secret: "a-secret-for-tests",
			Partitions: 8, StopLimitMS: 30_000,
		})
		is.NoErr(x.Start(ctx))
		fx.daemons = append(fx.daemons, x)
		fx.bases = append(fx.bases, "http://"+base)
	}
	t.Cleanup(func() {
		for _, x := range fx.daemons {
			x.Kill()
		}
		cancel()
		_ = fx.engine.Wait()
		platform.Close()
		engine.Close()
		tool.Close()
	})
	for i := range daemons {
		_, err := fx.client(i).Create(ctx, caller.ProgramOptions{ID: "warm-up", Budget: 1})
		is.NoErr(err)
	}
	return fx
}

func (fx *fixture) client(i int) *caller.Client {
	return caller.New(caller.Options{Base: fx.bases[i%len(fx.bases)], Key: key})
}

func TestOpenAIClientPlainAndStreamed(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1)
	ctx := context.Background()
	_, err := fx.client(0).Create(ctx, caller.ProgramOptions{ID: "order-7", Budget: 10_000})
	is.NoErr(err)
	client := openai.NewClient(option.WithBaseURL(fx.bases[0]+"/v1"), option.WithAPIKey(key), option.WithHeader("Pimentorail-Program", "order-7"))
	first := "shade roof of 4 by 6? tokens=9"
	params := openai.ChatCompletionNewParams{Model: "chat", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(first)}}
	plain, err := client.Chat.Completions.New(ctx, params)
	is.NoErr(err)
	is.Equal(plain.Choices[0].Message.Content, emulator.AnswerTo(first, 9))
	is.Equal(plain.Usage.CompletionTokens, int64(9))

	// The OpenAI client sends the complete conversation with each request.
	second := "and with arish panels? tokens=11"
	params.Messages = append(params.Messages, plain.Choices[0].Message.ToParam(), openai.UserMessage(second))
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	text := ""
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text += c.Delta.Content
		}
	}
	is.NoErr(stream.Err())
	is.Equal(text, emulator.AnswerTo(second, 11))
	v, err := fx.client(0).Resume("order-7", 0).View(ctx, true)
	is.NoErr(err)
	is.Equal(len(v.Messages), 4) // No message is stored twice.
}

func TestOpenAIClientReadsErrors(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1)
	client := openai.NewClient(option.WithBaseURL(fx.bases[0]+"/v1"), option.WithAPIKey("wrong"), option.WithMaxRetries(0))
	_, err := client.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{
		Model: "chat", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")},
	})
	var e *openai.Error
	is.True(asError(err, &e))
	is.Equal(e.StatusCode, http.StatusUnauthorized)
	is.Equal(e.Code, fmt.Sprint(int(classifier.BadKey)))
}

func asError(err error, into **openai.Error) bool {
	e, ok := err.(*openai.Error)
	*into = e
	return ok
}

func TestAnotherAccountsProgramLooksAbsent(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1)
	ctx := context.Background()
	_, err := fx.client(0).Create(ctx, caller.ProgramOptions{ID: "secret-lot", Budget: 100})
	is.NoErr(err)
	other := caller.New(caller.Options{Base: fx.bases[0], Key: "another-key"})
	_, theirs := other.Resume("secret-lot", 0).View(ctx, false)
	_, absent := other.Resume("no-such-lot", 0).View(ctx, false)
	is.Equal(classifier.From(theirs).Code, classifier.NoSuchProgram)
	is.Equal(strings.ReplaceAll(theirs.Error(), "secret-lot", "x"), strings.ReplaceAll(absent.Error(), "no-such-lot", "x"))
}

func TestProgramThroughAnyDaemonAndPlannedStop(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 3)
	ctx := context.Background()
	_, err := fx.client(0).Create(ctx, caller.ProgramOptions{ID: "lot-1", Budget: 50_000})
	is.NoErr(err)
	for i := range 6 {
		p := fx.client(i).Resume("lot-1", 2*i)
		question := fmt.Sprintf("moisture of bale %d? tokens=5", i)
		text, err := p.Ask(ctx, "chat", []caller.Message{{Role: "user", Content: question}}, 0, nil)
		is.NoErr(err)
		is.Equal(text, emulator.AnswerTo(question, 5))
		_, err = p.Call(ctx, "ledger", []byte(fmt.Sprintf(`{"post":%d}`, i)))
		is.NoErr(err)
		// The same call through another daemon returns the recorded outcome.
		repeated, err := fx.client(i+1).Resume("lot-1", 2*i+1).Call(ctx, "ledger", []byte(fmt.Sprintf(`{"post":%d}`, i)))
		is.NoErr(err)
		is.True(strings.Contains(string(repeated), fmt.Sprintf(`{\"post\":%d}`, i)))
	}
	for body, n := range fx.tool.Effects() {
		is.Equal(n, 1)
		_ = body
	}
	is.NoErr(fx.daemons[0].Stop(ctx))
	v, err := fx.client(1).Resume("lot-1", 12).View(ctx, true)
	is.NoErr(err)
	is.Equal(v.Calls, 12)
	is.Equal(len(v.Messages), 12)
}

func TestSubAgentSpendsParentBudget(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 1)
	ctx := context.Background()
	p, err := fx.client(0).Create(ctx, caller.ProgramOptions{ID: "quote", Budget: 300})
	is.NoErr(err)
	child, err := fx.client(0).Create(ctx, caller.ProgramOptions{ID: "helper", Parent: "quote"})
	is.NoErr(err)
	_, err = child.Ask(ctx, "chat", []caller.Message{{Role: "user", Content: "palm fronds tokens=60"}}, 60, nil)
	is.NoErr(err)
	v, err := p.View(ctx, false)
	is.NoErr(err)
	is.True(v.Spent >= 60)
	_, err = child.Ask(ctx, "chat", []caller.Message{{Role: "user", Content: strings.Repeat("x", 400)}}, 10, nil)
	is.Equal(classifier.From(err).Code, classifier.BudgetExhausted)
	is.Equal(classifier.From(err).Ran, classifier.RanNo)
}

func TestBadInput(t *testing.T) {
	fx := newFixture(t, 1)
	rows := []struct {
		name, method, path, body string
		header                   map[string]string
		code                     classifier.Code
	}{
		{"invalid JSON", "POST", "/v1/chat/completions", "{", nil, classifier.BadRequest},
		{"no model", "POST", "/v1/chat/completions", `{"messages":[{"role":"user"}]}`, nil, classifier.BadRequest},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"chat"}`, nil, classifier.BadRequest},
		{"message without role", "POST", "/v1/chat/completions", `{"model":"chat","messages":[{"content":"x"}]}`, nil, classifier.BadRequest},
		{"more than one choice", "POST", "/v1/chat/completions", `{"model":"chat","n":2,"messages":[{"role":"user"}]}`, nil, classifier.BadRequest},
		{"unknown model", "POST", "/v1/chat/completions", `{"model":"none","messages":[{"role":"user"}]}`, nil, classifier.NoSuchTarget},
		{"service as model", "POST", "/v1/chat/completions", `{"model":"ledger","messages":[{"role":"user"}]}`, nil, classifier.NoSuchTarget},
		{"negative call number", "POST", "/v1/services/ledger", `{}`, map[string]string{"Pimentorail-Call": "-3"}, classifier.BadRequest},
		{"deadline that is not a number", "POST", "/v1/services/ledger", `{}`, map[string]string{"Pimentorail-Deadline-Ms": "soon"}, classifier.BadRequest},
		{"long key", "POST", "/v1/services/ledger", `{}`, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, classifier.BadRequest},
		{"not repeatable without program", "POST", "/v1/services/ledger", `{}`, nil, classifier.BadRequest},
		{"invalid program id", "POST", "/v1/programs", `{"id":"../x","budget":5}`, nil, classifier.BadRequest},
		{"no budget", "POST", "/v1/programs", `{"id":"x"}`, nil, classifier.BadRequest},
		{"budget above the maximum", "POST", "/v1/programs", `{"id":"x","budget":100000000}`, nil, classifier.BadRequest},
		{"absent parent", "POST", "/v1/programs", `{"id":"x","parent":"none"}`, nil, classifier.NoSuchProgram},
		{"absent program", "GET", "/v1/programs/none", ``, nil, classifier.NoSuchProgram},
		{"call number that is not a number", "GET", "/v1/programs/none/calls/x", ``, nil, classifier.BadRequest},
		{"large body", "POST", "/v1/services/ledger", strings.Repeat("x", 5<<20), nil, classifier.TooLarge},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(row.method, fx.bases[0]+row.path, strings.NewReader(row.body))
			is.NoErr(err)
			req.Header.Set("Authorization", "Bearer "+key)
			for k, v := range row.header {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			var f struct {
				Error struct {
					Code string         `json:"code"`
					Ran  classifier.Ran `json:"ran"`
				} `json:"error"`
			}
			is.NoErr(json.NewDecoder(resp.Body).Decode(&f))
			is.Equal(f.Error.Code, fmt.Sprint(int(row.code)))
			is.Equal(f.Error.Ran, classifier.RanNo)
			is.Equal(resp.StatusCode, row.code.Status())
		})
	}
	if n := len(fx.tool.Effects()); n > 0 {
		t.Fatalf("%d refused calls had an effect", n)
	}
}

func TestHealthAndMetricsPages(t *testing.T) {
	fx := newFixture(t, 1)
	is := is.New(t)
	for page, want := range map[string]string{"/healthz": "ok", "/readyz": "ready", "/metrics": "pimentorail_"} {
		resp, err := http.Get(fx.bases[0] + page)
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		if page != "/metrics" {
			is.True(strings.Contains(string(data), want))
		}
	}
}

func TestSettings(t *testing.T) {
	good := `{"http-address":"127.0.0.1:1","rpc-address":"127.0.0.1:2","zone":"sohar","platform-address":"127.0.0.1:3","secret":"0123456789abcdef"}`
	rows := []struct{ name, old, bad, path string }{
		{"unknown key", `"zone"`, `"zoom":1,"zone"`, "/"},
		{"invalid address", `"127.0.0.1:1"`, `"localhost"`, "/http-address"},
		{"short secret", `"0123456789abcdef"`, `"short"`, "/secret"},
		{"missing zone", `"zone":"sohar",`, ``, "/"},
		{"wrong type", `"zone":"sohar"`, `"zone":"sohar","partitions":"many"`, "/partitions"},
		{"unknown policy", `"zone":"sohar"`, `"zone":"sohar","policies":{"order":"random"}`, "/policies/order"},
		{"invalid JSON", `{`, ``, "/"},
	}
	is := is.New(t)
	s, err := runner.ParseSettings([]byte(good))
	is.NoErr(err)
	is.Equal(s.Partitions, 64)
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			_, err := runner.ParseSettings([]byte(strings.Replace(good, row.old, row.bad, 1)))
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), row.path+":"))
		})
	}
}
