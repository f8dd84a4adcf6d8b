// Package relayer relays calls of the table service through peers while this daemon
// cannot reach the service itself.
//
// The daemons of one availability zone discover each other by member rows. A Relayer
// calls the service directly while it is available. During an outage it sends the call
// to a peer that still reaches the service. A daemon serves peers only with direct
// calls, so a call is relayed at most once.
package relayer
