// Package router chooses the replica of a target that should serve a call.
//
// Shortlist selects a few replicas to probe: the one that served the program last (for a
// first call, the one that the prompt prefix hashes to) and random ones. Choose ranks
// their answers by expected completion: the wait, the prefill of tokens that are not
// cached, and decoding at the replica's current speed. Both are pure functions.
package router
