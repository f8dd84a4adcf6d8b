// Package steward opens and closes the turns of programs: it brings the history
// that a turn continues and sets aside the tokens that it may generate.
//
// The turns of one program reach many daemons. Each program therefore has a home
// among the daemons of an availability zone, by rendezvous hashing, which has its
// history in memory and holds tokens of its budget for all of them. A daemon asks
// the home, and works on the rows itself when the home does not answer. A home is
// a shortcut and no owner: conditions on rows decide, so two homes are harmless.
package steward
