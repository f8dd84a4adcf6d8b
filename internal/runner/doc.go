// Package runner wires the parts of a daemon and runs them.
//
// ParseSettings checks a settings file whole before anything starts. Start
// brings a Daemon up; Stop is the planned stop: it hands partitions over,
// finishes the requests in flight and leaves.
package runner
