package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"goji.io"
	"goji.io/pat"
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	m := goji.NewMux()
	m.HandleFunc(pat.Post("/v1/streams/:id"), e.serveChat)
	m.HandleFunc(pat.Get("/v1/streams/:id"), e.serveResume)
	m.HandleFunc(pat.Delete("/v1/streams/:id"), e.serveCancel)
	m.HandleFunc(pat.Get("/v1/load"), e.serveLoad)
	m.HandleFunc(pat.Get("/v1/held"), e.serveHeld)
	m.HandleFunc(pat.Delete("/v1/held/:program"), e.serveRelease)
	m.HandleFunc(pat.Get("/v1/events"), e.serveEvents)
	m.HandleFunc(pat.Post("/v1/orders"), e.serveOrder)
	m.HandleFunc(pat.Get("/v1/state"), e.serveState)
	m.HandleFunc(pat.Get("/v1/kv/:program"), e.serveExport)
	m.HandleFunc(pat.Put("/v1/kv/:program"), e.serveImport)
	m.HandleFunc(pat.Post("/fault"), e.serveFault)
	m.HandleFunc(pat.Get("/counts"), e.serveCounts)
	return m
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	if !readJSON(w, r, &req) {
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get("Priority"))
	s, ok := e.submit(newStream(pat.Param(r, "id"), r.Header.Get("Hold"), priority, req))
	if !ok {
		http.Error(w, "engine accepts no requests", http.StatusServiceUnavailable)
		return
	}
	e.streamChunks(w, r, s, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s, ok := e.find(pat.Param(r, "id"))
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.streamChunks(w, r, s, max(0, from))
}

// streamChunks sends chunks as server-sent events until the stream is done or the client
// disconnects.
func (e *Engine) streamChunks(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	sent := 0
	for {
		chunks, more := e.chunksFrom(s, from)
		for _, c := range chunks {
			if e.cutDue(sent) {
				flusher.Flush()
				panic(http.ErrAbortHandler)
			}
			data, _ := json.Marshal(c)
			if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
				return
			}
			sent++
			from = c.Number + 1
			if c.Finish != "" {
				return
			}
		}
		flusher.Flush()
		select {
		case <-more:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) cutDue(sent int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.CutAfter > 0 && sent >= e.faults.CutAfter
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(pat.Param(r, "id")) {
		http.Error(w, "no such stream", http.StatusNotFound)
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeResult(w, e.report, nil)
}

func (e *Engine) serveHeld(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, e.HeldPrograms(), nil)
}

func (e *Engine) serveRelease(_ http.ResponseWriter, r *http.Request) {
	e.ReleaseProgram(pat.Param(r, "program"))
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []CacheEvent{}
	for _, ev := range e.cache.eventsAfter(after) {
		if !e.faults.LoseEvents || ev.Number%2 == 0 {
			events = append(events, ev)
		}
	}
	writeResult(w, events, nil)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !readJSON(w, r, &o) {
		return
	}
	if !e.applyOrder(o) {
		http.Error(w, "outdated fencing number", http.StatusConflict)
	}
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) { writeResult(w, e.State(), nil) }

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if readJSON(w, r, &f) {
		e.SetFaults(f)
	}
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) { writeResult(w, e.Counts(), nil) }
