// Package tracker tracks the replicas that can receive requests.
//
// Each running replica has a row in the registry of replicas, a table of the store. A row
// that disappears during an outage of the store does not mean that the replica is gone, so
// such a replica stays usable until a grace period after the store has recovered, or until
// peers confirm that the registry was up meanwhile. A replica
// that restarts under its old id is a new instance with empty caches. An instance that
// announced its end in a response receives nothing more, whatever its row says.
//
// A row may describe a process that has ended, and another one, of another version, may listen
// at its address already. The tracker therefore knows which connections lead to the process of
// a row (Owns): those that were opened before a read of the registry began that shows the row.
// An instance whose process was seen to end stays usable, but proves no further connections
// until it has written another row or named itself (Unconfirmed, Identified).
package tracker
