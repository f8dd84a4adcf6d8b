// Package relayer relays calls of the store through peers while this daemon cannot reach
// the store itself.
//
// The daemons of one availability zone discover each other by member rows; one that joins
// also tells its peers, which read the rows only every few seconds. Each daemon renews its
// row about every two minutes. One whose row is not renewed and that does not answer either is
// no peer, and one of the others removes its row. A Relayer
// calls the store directly while it is available. During an outage it sends the call
// to a peer that still reaches the store. A daemon serves peers only with direct
// calls, so a call is relayed at most once.
//
// After this daemon could not read the registry of replicas, peers tell whether the registry
// was up meanwhile (ConfirmRegistry).
//
// It also opens connections of their own to daemons of this and other zones, for package
// tunneler.
package relayer
