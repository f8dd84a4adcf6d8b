package dispatcher_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/dispatcher"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const prompt = "price of a roof? tokens=40"

func newModelRequest(id string) dispatcher.ModelRequest {
	m, _ := json.Marshal(map[string]string{"role": "user", "content": prompt})
	return dispatcher.ModelRequest{ID: id, Model: "chat", Messages: []json.RawMessage{m}, MaxTokens: 100}
}

func newEngine(t *testing.T) (*emulator.Engine, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	e := emulator.NewEngine(ctx, emulator.EngineOptions{TokenGap: 100 * time.Microsecond})
	s := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		s.Close()
		cancel()
		_ = e.Wait()
	})
	return e, strings.TrimPrefix(s.URL, "http://")
}

func TestStreamIsResumedAfterEachCut(t *testing.T) {
	for cutAfter := 5; cutAfter < 45; cutAfter += 4 {
		is := is.New(t)
		e, address := newEngine(t)
		e.SetFaults(emulator.EngineFaults{CutAfter: cutAfter})
		got := ""
		r, err := dispatcher.New().Model(context.Background(), address, newModelRequest("s"), func(s string) { got += s })
		is.NoErr(err)
		is.Equal(r.Text, emulator.AnswerTo(prompt, 40))
		is.Equal(got, r.Text)
		is.Equal(e.Counts().Requests, 1) // Resumed, not generated again.
	}
}

func TestStreamThatCannotBeResumedIsAnError(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.Error(w, "no such stream", http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(`data: {"id":"s","number":0,"content":"x"}` + "\n\n"))
	}))
	t.Cleanup(s.Close)
	r, err := dispatcher.New().Model(context.Background(), strings.TrimPrefix(s.URL, "http://"), newModelRequest("s"), nil)
	var f *dispatcher.Error
	is.True(errors.As(err, &f))
	is.Equal(f.Ran, classifier.RanUnknown)
	is.Equal(r.CompletionTokens, 1)
}

func TestEngineThatRefusesOrIsAway(t *testing.T) {
	is := is.New(t)
	e, address := newEngine(t)
	e.SetFaults(emulator.EngineFaults{Refuse: true})
	_, err := dispatcher.New().Model(context.Background(), address, newModelRequest("s"), nil)
	var f *dispatcher.Error
	is.True(errors.As(err, &f))
	is.Equal(f.Code, classifier.TargetRefused)
	is.Equal(f.Ran, classifier.RanNo)
	_, err = dispatcher.New().Model(context.Background(), closedPort(t), newModelRequest("s"), nil)
	is.True(errors.As(err, &f))
	is.Equal(f.Code, classifier.TargetAway)
	is.Equal(f.Ran, classifier.RanNo)
}

func closedPort(t *testing.T) string {
	t.Helper()
	a, err := emulator.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// newScriptedServer returns the address of a server that responds to each request with the
// next of the bodies.
func newScriptedServer(t *testing.T, bodies ...string) string {
	t.Helper()
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete || n >= len(bodies) {
			return
		}
		_, _ = w.Write([]byte(bodies[n]))
		n++
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

const endEvent = `data: {"id":"s","number":1,"finish_reason":"stop","usage":{"prompt_tokens":3}}` + "\n\n"

func TestMalformedStreams(t *testing.T) {
	rows := []struct{ name, body string }{
		{"chunk of another stream", `data: {"id":"other","number":0,"content":"x"}` + "\n\n" + endEvent},
		{"missing chunk", `data: {"id":"s","number":1,"content":"x"}` + "\n\n" + endEvent},
		{"repeated chunk", `data: {"id":"s","number":0,"content":"x"}` + "\n\n" + `data: {"id":"s","number":0,"content":"x"}` + "\n\n"},
		{"no end marker", `data: {"id":"s","number":0,"content":"x"}` + "\n\n"},
		{"no usage", `data: {"id":"s","number":0,"finish_reason":"stop"}` + "\n\n"},
		{"invalid JSON", "data: {\n\n"},
		{"empty body", ""},
		{"cancelled", `data: {"id":"s","number":0,"finish_reason":"cancelled","usage":{}}` + "\n\n"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			_, err := dispatcher.New().Model(context.Background(), newScriptedServer(t, row.body), newModelRequest("s"), nil)
			var f *dispatcher.Error
			is.True(errors.As(err, &f)) // Never a shorter answer.
			is.Equal(f.Ran, classifier.RanUnknown)
		})
	}
}

func TestOvershootIsCut(t *testing.T) {
	is := is.New(t)
	body := ""
	for _, n := range []string{"0", "1", "2", "3"} {
		body += `data: {"id":"s","number":` + n + `,"content":"x"}` + "\n\n"
	}
	q := newModelRequest("s")
	q.MaxTokens = 2
	r, err := dispatcher.New().Model(context.Background(), newScriptedServer(t, body), q, nil)
	is.NoErr(err)
	is.Equal(r.Text, "xx")
	is.Equal(r.Finish, "length")
}

func TestServiceFaults(t *testing.T) {
	tool := emulator.NewTool(0)
	s := httptest.NewServer(tool.Handler())
	t.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	rows := []struct {
		name     string
		faults   emulator.ToolFaults
		statuses []int
		address  string
		effects  int
		ran      classifier.Ran
	}{
		{"answered", emulator.ToolFaults{}, nil, address, 1, ""},
		{"answer lost", emulator.ToolFaults{LoseEvery: 1}, nil, address, 1, classifier.RanUnknown},
		{"hangs after the effect", emulator.ToolFaults{Hang: true}, nil, address, 1, classifier.RanUnknown},
		{"refuses with a declared status", emulator.ToolFaults{Refuse: true}, []int{503}, address, 0, classifier.RanNo},
		{"refuses with a status that says nothing", emulator.ToolFaults{Refuse: true}, nil, address, 0, ""},
		{"not reached", emulator.ToolFaults{}, nil, "", 0, classifier.RanNo},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			tool.SetFaults(row.faults)
			if row.address == "" {
				row.address = closedPort(t)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := dispatcher.New().Service(ctx, row.address, dispatcher.ServiceRequest{ID: "x", Body: []byte(row.name), NotRunStatuses: row.statuses})
			var f *dispatcher.Error
			is.Equal(errors.As(err, &f), row.ran != "")
			if f != nil {
				is.Equal(f.Ran, row.ran)
			}
			is.Equal(tool.Effects()[row.name], row.effects)
		})
	}
}

func TestExpiredDispatchSendsNothing(t *testing.T) {
	is := is.New(t)
	seen := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen++ }))
	t.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	expired := func() bool { return false }
	_, err := dispatcher.New().Service(context.Background(), address, dispatcher.ServiceRequest{ID: "x", Body: []byte("post"), Valid: expired})
	var f *dispatcher.Error
	is.True(errors.As(err, &f))
	is.Equal(f.Code, classifier.TicketExpired)
	is.Equal(f.Ran, classifier.RanNo)
	is.Equal(seen, 0)
}

func FuzzStream(f *testing.F) {
	f.Add(`data: {"id":"s","number":0,"content":"x"}` + "\n\n" + endEvent)
	f.Add("data: [DONE]\n\n")
	f.Add("data: {}\n\ndata: {}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		defer s.Close()
		r, err := dispatcher.New().Model(context.Background(), strings.TrimPrefix(s.URL, "http://"), newModelRequest("s"), nil)
		if err == nil && !strings.Contains(body, "finish_reason") {
			t.Fatalf("answer %q without an end marker", r.Text)
		}
	})
}
