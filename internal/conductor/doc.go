// Package conductor carries one call from its arrival to its recorded outcome.
//
// A call takes a unit of its account's limit, gets its turn from the program
// owner, a slot from a replica's owner, is dispatched, and is finished at the
// program owner. Every step to an owner can be repeated, so a stale map or a
// lost answer costs a retry, never a second dispatch of a call that must not
// be repeated.
package conductor
