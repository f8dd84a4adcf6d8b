// Package archivist persists the histories of agent programs as immutable turns.
//
// A Turn names its parent, so histories form trees: sub-agents and retries branch off
// any turn. A turn's row holds only what the turn adds and the ids of its nearest
// ancestors, so that a long chain is read in few round trips. A turn never changes, so
// its row is written without a condition, and writing it twice does no harm.
//
// A turn that one call to the store does not take is written in several, its first row in
// the last one, so it exists only when it is whole. Rows of a turn that never became whole
// are not read by anybody.
package archivist
