// Package limiter bounds the calls in flight of a client account over all
// daemons.
//
// One daemon owns an account, by partition, and grants slices of its limit that
// expire. Grants is the owner's state and Slices the holder's; both are pure but
// for the time they are given. A new owner grants nothing new for one lifetime
// and lets holders keep what they hold, so the sum never exceeds the limit.
package limiter
