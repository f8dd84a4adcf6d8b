// Package router chooses the replica of a target that should serve a call.
//
// Shortlist selects a few replicas to probe: the one that served the program last (for a
// first call, the one that the prompt prefix hashes to) and random ones. Rank orders
// them by expected completion: the wait, the prefill of tokens that are not cached, and
// decoding at the replica's current speed. Both are pure functions.
//
// The daemon of package runner uses this package: it probes the owner of each candidate,
// which knows all calls at the replica. Package ranker serves the daemon of package
// server, where no daemon owns a replica and each ranks them by its own estimates.
package router
