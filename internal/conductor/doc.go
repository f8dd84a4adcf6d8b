// Package conductor runs a call from its arrival to its recorded outcome. It is the request
// path of `pimentorail daemon` and is wired by package runner; that of `pimentorail serve`
// is in package forwarder.
//
// A call takes a unit of its account's in-flight limit, a ticket from the program's owner
// and a slot from a replica's owner. It is then dispatched to the replica, and its outcome
// is recorded at the program's owner. Every request to an owner is idempotent, so a stale
// partition map or a lost reply costs a retry, never a second dispatch of a call that must
// not be repeated.
package conductor
