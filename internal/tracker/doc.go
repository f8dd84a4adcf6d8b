// Package tracker tracks the replicas that can receive requests.
//
// Each running replica has a row in the registry of replicas, a table of the store. A row
// that disappears during an outage of the store does not mean that the replica is gone, so
// such a replica stays usable until a grace period after the store has recovered, or until
// peers confirm that the registry was up meanwhile. A replica
// that restarts under its old id is a new instance with empty caches. An instance that
// announced its end in a response receives nothing more, whatever its row says.
package tracker
