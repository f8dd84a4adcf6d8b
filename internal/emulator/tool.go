package emulator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"
)

// ToolFaults selects the faults that a Tool injects.
type ToolFaults struct {
	// Hang accepts requests, performs their effect and never responds.
	Hang bool `json:"hang"`
	// LoseEvery drops the response of every nth request after its effect; zero drops none.
	LoseEvery int `json:"lose-every"`
	// Refuse rejects every request with status 503, without effect.
	Refuse bool `json:"refuse"`
}

// Tool is a fake of a plain service. It counts the side effects of its calls.
type Tool struct {
	mu      sync.Mutex
	latency time.Duration
	faults  ToolFaults
	calls   int
	effects map[string]int
}

// NewTool returns a tool service that takes latency for each call.
func NewTool(latency time.Duration) *Tool {
	return &Tool{latency: latency, effects: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (t *Tool) SetFaults(f ToolFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Effects returns how often the effect of each request body was performed.
func (t *Tool) Effects() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.effects)
}

// Apply performs the effect of a call once and returns its response. lost reports that
// the response must be dropped; ok is false if the call is refused.
func (t *Tool) Apply(ctx context.Context, body string) (text string, lost bool, ok bool) {
	t.mu.Lock()
	f := t.faults
	if f.Refuse {
		t.mu.Unlock()
		return "", false, false
	}
	t.calls++
	t.effects[body]++
	lost = f.LoseEvery > 0 && t.calls%f.LoseEvery == 0
	text = fmt.Sprintf(`{"done":%q,"call":%d}`, body, t.calls)
	t.mu.Unlock()
	if f.Hang {
		<-ctx.Done()
		return "", true, true
	}
	select {
	case <-time.After(t.latency):
	case <-ctx.Done():
	}
	return text, lost, true
}

// Handler returns the tool's HTTP interface.
func (t *Tool) Handler() http.Handler {
	m := goji.NewMux()
	m.HandleFunc(pat.Post("/call"), t.serveCall)
	m.HandleFunc(pat.Post("/fault"), t.serveFault)
	m.HandleFunc(pat.Get("/effects"), t.serveEffects)
	return m
}

func (t *Tool) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, lost, ok := t.Apply(r.Context(), string(body))
	if !ok {
		http.Error(w, "service accepts no calls", http.StatusServiceUnavailable)
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, text)
}

func (t *Tool) serveFault(w http.ResponseWriter, r *http.Request) {
	var f ToolFaults
	if readJSON(w, r, &f) {
		t.SetFaults(f)
	}
}

func (t *Tool) serveEffects(w http.ResponseWriter, _ *http.Request) { writeResult(w, t.Effects(), nil) }
