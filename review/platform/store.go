//go:build review

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// storeLatency is how long the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	maxFeedWait  = 30 * time.Second
	maxPage      = 500
)

// rowKey identifies a row.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row, or a change of one in the feed.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's store. It keeps all of its history.
type store struct {
	start time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	// changed is closed and replaced at each transaction.
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// put writes a row on behalf of the operator or a replica, and drop removes one.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{rowKey: rowKey{Table: table, Key: key}, Value: data}})
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{Table: table, Key: key}
	if _, ok := s.rows[k]; ok {
		s.apply([]row{{rowKey: k, Removed: true}})
	}
}

// apply applies one transaction. The caller holds the lock.
func (s *store) apply(writes []row) {
	s.version++
	for _, w := range writes {
		w.Version = s.version
		if w.Removed {
			delete(s.rows, w.rowKey)
		} else {
			s.rows[w.rowKey] = w
		}
		s.history = append(s.history, w)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch r.Method + " " + r.URL.Path {
	case "POST /-/rows-tx":
		s.transact(w, r)
	case "GET /-/rows-get":
		s.get(w, r)
	case "GET /-/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, "ver": version, "now_ms": time.Since(s.start).Milliseconds(),
	})
}

type transaction struct {
	Conditions []row    `json:"expect_rev"`
	Writes     []row    `json:"writes"`
	Removes    []rowKey `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20+1))
	var tx transaction
	if err != nil || len(body) > 1<<20 || json.Unmarshal(body, &tx) != nil || len(tx.Conditions)+len(tx.Writes)+len(tx.Removes) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writes := tx.Writes
	for _, k := range tx.Removes {
		writes = append(writes, row{rowKey: k, Removed: true})
	}
	for _, x := range writes {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	var current []row
	for _, c := range tx.Conditions {
		x, ok := s.rows[c.rowKey]
		if ok {
			current = append(current, x)
		}
		held = held && x.Version == c.Version
	}
	if !held {
		s.reply(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	s.apply(writes)
	s.reply(w, http.StatusOK, nil, false, s.version)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for k, x := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	s.reply(w, http.StatusOK, list, more, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	for {
		s.mu.Lock()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		var list []row
		for _, x := range s.history[first:] {
			if x.Table == q.Get("table") {
				list = append(list, x)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			s.reply(w, http.StatusOK, list, false, version)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.reply(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}
