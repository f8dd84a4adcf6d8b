// Package follower replicates one table to a Sink.
//
// A Follower lists the table, then requests its changes. It lists the table again when the
// store no longer retains the changes it needs, and once after each outage of the store, in
// case the changes left something out. It reports the start and the end of each
// outage of the store.
package follower
