// Package runner wires the parts of the daemon of `pimentorail daemon` and runs them.
//
// The daemon serves declared targets and owns partitions of programs, replicas and
// accounts under leases. It is built from conductor, sequencer, allocator, scheduler,
// router, limiter and leaser, among others. Package server runs the other kind of daemon,
// that of `pimentorail serve`.
//
// ParseSettings checks a settings file completely before anything starts. New wires a
// Daemon, and Start starts it. Stop performs a planned stop: it hands over the partitions,
// finishes the requests in flight and deletes the daemon's member row.
package runner
