// Package assigner picks one daemon of an availability zone for a key, the same
// one at all daemons that know the same peers, by rendezvous hashing.
//
// What is picked is a shortcut for work that any daemon can do: a peer that does
// not answer is left out for a while, and the work is done elsewhere.
package assigner
