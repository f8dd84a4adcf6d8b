// Package assigner picks one daemon of an availability zone for a key by rendezvous
// hashing. All daemons that know the same peers pick the same daemon.
//
// The pick is an optimization for work that any daemon can do: a peer that does not
// answer is excluded for a while, and another daemon does the work. Work that only one daemon
// should do at a time asks Leads, which stays false while others may still pick another.
package assigner
