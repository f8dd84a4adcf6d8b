// Package allocator owns target replicas: their queue, slots and speed estimate.
//
// One daemon owns a replica at a time, by partition, so it knows the exact number of
// calls in flight without a load report. The entry daemon, which received the caller's
// request, polls with Acquire until it is granted a slot or refused, and returns the slot
// with Release. The state is not persisted: a new owner rebuilds it from new calls.
// Slots of daemons whose session has expired are freed.
package allocator
