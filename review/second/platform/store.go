//go:build review2

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r *row) id() string { return r.Table + "/" + r.Part + "/" + r.Key }

// store is a stand-in for the platform's store: linearizable, and it loses nothing that it has
// acknowledged.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	changes []row
	version uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
}

type transaction struct {
	Conditions []row `json:"expect_rev"`
	Writes     []row `json:"writes"`
	Removes    []row `json:"remove"`
}

// commit applies a transaction, or returns the rows of its conditions if one does not hold.
func (s *store) commit(t transaction) (uint64, []row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, current := true, []row{}
	for _, c := range t.Conditions {
		now := s.rows[c.id()]
		held = held && now.Version == c.Version
		if now.Version > 0 {
			current = append(current, now)
		}
	}
	if !held {
		return s.version, current, false
	}
	s.version++
	for _, w := range t.Writes {
		w.Version = s.version
		s.rows[w.id()] = w
		s.changes = append(s.changes, w)
	}
	for _, w := range t.Removes {
		if _, ok := s.rows[w.id()]; ok {
			delete(s.rows, w.id())
			w.Version, w.Removed = s.version, true
			s.changes = append(s.changes, w)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

// put writes a row as the operator and the replicas do.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.commit(transaction{Writes: []row{{Table: table, Key: key, Value: data}}})
}

func (s *store) remove(table, key string) {
	s.commit(transaction{Removes: []row{{Table: table, Key: key}}})
}

const pageRows = 500

func (s *store) get(table, part, from, to string, limit int) ([]row, bool, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	list := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to) {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	if len(list) > limit {
		return list[:limit], true, s.version
	}
	return list, false, s.version
}

// exact returns one row without a scan.
func (s *store) exact(table, part, key string) ([]row, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[table+"/"+part+"/"+key]; ok {
		return []row{r}, s.version
	}
	return nil, s.version
}

func (s *store) feed(table string, after uint64, wait time.Duration) ([]row, uint64) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		list := []row{}
		for i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > after }); i < len(s.changes); i++ {
			if s.changes[i].Table == table {
				list = append(list, s.changes[i])
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			return list, version
		}
		select {
		case <-changed:
		case <-end:
			return list, version
		}
	}
}

// Faults of a door.
const (
	sound  = iota
	silent // no call is answered or done
	busy   // 503, nothing is done
	late   // a write is not answered and done seconds later
)

// door is the store's address for one daemon.
type door struct {
	store   *store
	fault   atomic.Int32
	delay   atomic.Int64
	address string
	server  *http.Server
}

func (s *store) open() *door {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &door{store: s, address: l.Addr().String()}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return d
}

// usualDelay is the time that an answer of the store takes.
const usualDelay = 4 * time.Millisecond

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(usualDelay + time.Duration(d.delay.Load()))
	switch d.fault.Load() {
	case silent:
		<-r.Context().Done()
		return
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case late:
		if r.Method == http.MethodPost {
			var t transaction
			if json.Unmarshal(body, &t) == nil {
				time.AfterFunc(2*time.Second, func() { d.store.commit(t) })
			}
			<-r.Context().Done()
			return
		}
	}
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	out := map[string]any{"now_ms": time.Since(d.store.started).Milliseconds()}
	status := http.StatusOK
	switch r.URL.Path {
	case "/-/rows-tx":
		var t transaction
		if json.Unmarshal(body, &t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, x := range append(append([]row{}, t.Writes...), t.Removes...) {
			if x.Table == "op" || x.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
		version, rows, ok := d.store.commit(t)
		out["ver"] = version
		if !ok {
			status = http.StatusPreconditionFailed
			out["rows"] = rows
		}
	case "/-/rows-get":
		if limit == 1 {
			rows, version := d.store.exact(q.Get("table"), q.Get("part"), q.Get("from"))
			if len(rows) == 1 {
				out["rows"], out["has_more"], out["ver"] = rows, false, version
				break
			}
		}
		rows, more, version := d.store.get(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit)
		out["rows"], out["has_more"], out["ver"] = rows, more, version
	case "/-/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		rows, version := d.store.feed(q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		out["rows"], out["ver"] = rows, version
	default:
		status = http.StatusNotFound
	}
	data, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

// rowsOf returns the keys of a table, for the record.
func (s *store) rowsOf(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for id := range s.rows {
		if strings.HasPrefix(id, table+"/") {
			keys = append(keys, id)
		}
	}
	return keys
}
