// Package allocator owns target replicas: their queue, slots and pace.
//
// One daemon owns a replica at a time, by partition, so it knows the exact
// number of calls in flight without a load report. An entry asks with Acquire
// until it is granted a slot or refused, and returns the slot with Release.
// The state is soft: after a takeover it is rebuilt from new calls, and slots
// of entries that are gone return by themselves.
package allocator
