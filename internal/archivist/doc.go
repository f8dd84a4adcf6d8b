// Package archivist keeps the history of agent programs as immutable turns.
//
// A Turn names its parent, so histories are trees: sub-agents and repeats branch
// off any turn. A turn's row holds only what the turn adds, and the ids of its
// nearest ancestors, so that a long chain is read in few steps. A turn never
// changes, so its row is written without a condition and may be written twice.
package archivist
