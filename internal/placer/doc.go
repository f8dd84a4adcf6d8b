// Package placer chooses the replica that should serve a request.
//
// It holds state and decisions only: no clock, no socket, no lock. A View is
// what one daemon believes of one replica: what it told of its load and when,
// what we have there, which parts of prompts it holds, and how it has failed.
// Choose ranks views by expected completion. The load pattern that it answers:
// many daemons that choose alone, with reports that are some hundred
// milliseconds old, before replicas that are slowed for moments.
package placer
