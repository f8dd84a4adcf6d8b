// Package runner wires the parts of a daemon and runs them.
//
// ParseSettings checks a settings file completely before anything starts. Start starts a
// Daemon. Stop performs a planned stop: it hands over the partitions, finishes the requests
// in flight and deletes the daemon's member row.
package runner
