// Package assigner picks one daemon of an availability zone for a key by rendezvous
// hashing. All daemons that know the same peers pick the same daemon.
//
// The pick is an optimization for work that any daemon can do: a peer that does not
// answer is excluded for a while, and another daemon does the work.
package assigner
