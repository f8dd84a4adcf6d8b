package emulator

import (
	"net/http"

	"goji.io/pat"
)

// KV is the exported cache of a program: the prefixes of its last prompt.
type KV struct {
	Nodes []KVNode `json:"nodes"`
}

// KVNode is one prefix of an exported cache.
type KVNode struct {
	Hash   uint64 `json:"hash"`
	Tokens int    `json:"tokens"`
}

// serveExport returns the cache that is held for a program.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	nodes, ok := e.heldNodes[pat.Param(r, "program")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no cache is held for the program", http.StatusNotFound)
		return
	}
	kv := KV{Nodes: []KVNode{}}
	for _, n := range nodes {
		kv.Nodes = append(kv.Nodes, KVNode{n.hash, n.tokens})
	}
	writeResult(w, kv, nil)
}

// serveImport stores and holds a program's cache that another engine exported.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if !readJSON(w, r, &kv) {
		return
	}
	nodes, total := make([]prefixNode, 0, len(kv.Nodes)), 0
	for _, n := range kv.Nodes {
		nodes = append(nodes, prefixNode{n.Hash, n.Tokens})
		total += n.Tokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.insert(nodes)
	e.heldTokens[pat.Param(r, "program")] = total
	e.heldNodes[pat.Param(r, "program")] = nodes
}
