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

// PlatformCounts counts requests and the bytes of their bodies.
type PlatformCounts struct {
	StoreCounts
	Received int64 `json:"bytes-received"`
	Sent     int64 `json:"bytes-sent"`
}

// counting adds up the bytes of an answer's body.
type counting struct {
	http.ResponseWriter
	sent *atomic.Int64
}

// Write implements io.Writer.
func (c *counting) Write(data []byte) (int, error) {
	n, err := c.ResponseWriter.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

// count counts the bytes of bodies both ways.
func (p *Platform) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.received.Add(max(0, r.ContentLength))
		next.ServeHTTP(&counting{w, &p.sent}, r)
	})
}

// NewPlatform returns a platform over a store.
func NewPlatform(s *Store) *Platform { return &Platform{store: s} }

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := goji.NewMux()
	m.Use(p.count)
	m.HandleFunc(pat.Post("/table/get"), p.get)
	m.HandleFunc(pat.Post("/table/scan"), p.scan)
	m.HandleFunc(pat.Post("/table/commit"), p.commit)
	m.HandleFunc(pat.Put("/object/:key"), p.put)
	m.HandleFunc(pat.Get("/object/:key"), p.fetch)
	m.HandleFunc(pat.Get("/vms"), p.machines)
	m.HandleFunc(pat.Post("/vms"), p.setMachines)
	m.HandleFunc(pat.Post("/fault"), p.fault)
	m.HandleFunc(pat.Get("/counts"), p.counts)
	return m
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	var c storer.Condition
	if !readJSON(w, r, &c) {
		return
	}
	row, err := p.store.Get(r.Context(), c.Key)
	answer(w, row, err)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var q storer.ScanRequest
	if !readJSON(w, r, &q) {
		return
	}
	rows, err := p.store.Scan(r.Context(), q.Prefix, q.After, q.Limit)
	answer(w, rows, err)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var tx storer.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	version, err := p.store.Commit(r.Context(), tx)
	answer(w, version, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = p.store.Put(r.Context(), pat.Param(r, "key"), data)
	}
	answer(w, struct{}{}, err)
}

func (p *Platform) fetch(w http.ResponseWriter, r *http.Request) {
	data, err := p.store.Fetch(r.Context(), pat.Param(r, "key"))
	if err != nil {
		answer(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) machines(w http.ResponseWriter, r *http.Request) {
	vms, err := p.store.Machines(r.Context())
	answer(w, vms, err)
}

func (p *Platform) setMachines(w http.ResponseWriter, r *http.Request) {
	var vms []storer.Machine
	if readJSON(w, r, &vms) {
		p.store.SetMachines(vms)
	}
}

func (p *Platform) fault(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if readJSON(w, r, &f) {
		p.store.SetFaults(f)
	}
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	answer(w, PlatformCounts{p.store.Counts(), p.received.Load(), p.sent.Load()}, nil)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// answer writes a result; an unavailable service drops the connection, as an outage does.
func answer(w http.ResponseWriter, v any, err error) {
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
