// Package ranker ranks the replicas that can serve a request.
//
// It holds state and decisions only: no clock, no socket, no lock. A View is one
// daemon's estimate of one replica: its last load report and the time of that
// report, the daemon's own in-flight requests there, the prompt parts that it
// caches, and its recent failures. Costs.Choose returns the index of the view with the
// lowest expected completion time.
//
// The daemon of package server uses this package, through package selector. Package
// router serves the daemon of package runner, which probes the owners of replicas.
//
// The ranking is designed for many daemons that choose independently, with load
// reports some hundred milliseconds old, among replicas that slow down for short
// periods.
package ranker
