// Package router chooses the replica of a target that should serve a call.
//
// Shortlist names a few replicas to ask: the one that served the program last
// (for a first call the one that its prefix hashes to) and random ones. Choose ranks their
// answers by expected completion: wait, prefill of what is not cached, and
// decoding at the replica's current pace. Both are pure.
package router
