// Package limiter bounds the calls in flight of a client account over all daemons.
//
// One daemon owns an account, by partition, and grants slices of its limit to the
// daemons that run calls, their holders. Slices expire unless they are renewed. Grants is
// the state of an owner and Slice that of a holder; both read no clock. A new owner grants
// nothing new for one slice lifetime and only renews what holders have, so that the sum
// of all slices never exceeds the limit.
package limiter
