// Package ranker ranks the replicas that can serve a request.
//
// It holds state and decisions only: no clock, no socket, no lock. A View is one
// daemon's estimate of one replica: its last load report and the time of that
// report, the daemon's own in-flight requests there, the prompt parts that it
// caches, and its recent failures. Choose ranks views by expected completion time.
//
// The ranking is designed for many daemons that choose independently, with load
// reports some hundred milliseconds old, among replicas that slow down for short
// periods.
package ranker
