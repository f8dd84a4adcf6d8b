// Package granter opens and closes the turns of programs: it loads the history
// that a turn continues and reserves the tokens that the turn may generate.
//
// The turns of one program arrive at many daemons. Each program therefore has a
// coordinator among the daemons of an availability zone, chosen by rendezvous
// hashing. The coordinator caches the program's history and reserves tokens of its
// budget on behalf of all of them. A daemon sends each turn to the coordinator, and
// reads and writes the rows itself when the coordinator does not answer. The
// coordinator is an optimization and has no ownership: conditional writes keep the
// rows correct, so two coordinators of one program do no harm.
//
// A former coordinator, of this zone or of another one, may hold tokens that it reserved in
// advance. Before a turn is denied, the processes that the program's row names are asked to
// return what they do not need, in parallel and for at most 0.3 s, and the row is read again.
package granter
