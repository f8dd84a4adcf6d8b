package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
	"goji.io"
	"goji.io/pat"

	"pimentorail.example/pimentorail/internal/storer"
)

const maxBodyBytes = 64 << 20

// Platform serves a Store over HTTP.
type Platform struct {
	store    *Store
	received atomic.Int64
	sent     atomic.Int64
}

// PlatformCounts counts requests and the bytes of request and response bodies.
type PlatformCounts struct {
	StoreCounts
	Received int64 `json:"bytes-received"`
	Sent     int64 `json:"bytes-sent"`
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(data []byte) (int, error) {
	n, err := c.ResponseWriter.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

// countBytes counts the bytes of request and response bodies.
func (p *Platform) countBytes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.received.Add(max(0, r.ContentLength))
		next.ServeHTTP(&countingWriter{w, &p.sent}, r)
	})
}

// NewPlatform returns a Platform that serves s.
func NewPlatform(s *Store) *Platform { return &Platform{store: s} }

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := goji.NewMux()
	m.Use(p.countBytes)
	m.HandleFunc(pat.Post("/table/get"), p.serveGet)
	m.HandleFunc(pat.Post("/table/scan"), p.serveScan)
	m.HandleFunc(pat.Post("/table/commit"), p.serveCommit)
	m.HandleFunc(pat.Put("/object/:key"), p.servePut)
	m.HandleFunc(pat.Get("/object/:key"), p.serveFetch)
	m.HandleFunc(pat.Get("/vms"), p.serveVMs)
	m.HandleFunc(pat.Post("/vms"), p.serveSetVMs)
	m.HandleFunc(pat.Post("/fault"), p.serveFault)
	m.HandleFunc(pat.Get("/counts"), p.serveCounts)
	return m
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	var c storer.Condition
	if !readJSON(w, r, &c) {
		return
	}
	row, err := p.store.Get(r.Context(), c.Key)
	writeResult(w, row, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var q storer.ScanRequest
	if !readJSON(w, r, &q) {
		return
	}
	rows, err := p.store.Scan(r.Context(), q.Prefix, q.After, q.Limit)
	writeResult(w, rows, err)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx storer.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	version, err := p.store.Commit(r.Context(), tx)
	writeResult(w, version, err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = p.store.Put(r.Context(), pat.Param(r, "key"), data)
	}
	writeResult(w, struct{}{}, err)
}

func (p *Platform) serveFetch(w http.ResponseWriter, r *http.Request) {
	data, err := p.store.Fetch(r.Context(), pat.Param(r, "key"))
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := p.store.VMs(r.Context())
	writeResult(w, vms, err)
}

func (p *Platform) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []storer.VM
	if readJSON(w, r, &vms) {
		p.store.SetVMs(vms)
	}
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if readJSON(w, r, &f) {
		p.store.SetFaults(f)
	}
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, PlatformCounts{p.store.Counts(), p.received.Load(), p.sent.Load()}, nil)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeResult writes a value or an error. If the service is unavailable, it aborts the
// connection, as a real outage does.
func writeResult(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, storer.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, storer.ErrAbsent):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		panic(http.ErrAbortHandler)
	}
}
