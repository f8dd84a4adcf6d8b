// Package rationer applies the limits of client accounts over all daemons.
//
// Each request of a limited account needs a credit, which the member of the ring takes that holds the account's
// arc. The decisions are those of package ratelimiter; this package has the clock, the lock, the messages and the
// rows of the members.
package rationer
