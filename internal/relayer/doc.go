// Package relayer reaches the table service through peers while it turns this
// daemon away.
//
// The daemons of one availability zone know each other by member rows. A Relayer
// uses the service itself while it answers; while it does not, it asks a peer
// that still reaches it. A daemon serves peers only from its own connection, so
// a call is relayed at most once.
package relayer
