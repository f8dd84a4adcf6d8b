// Package ratelimiter decides how many requests of a client account run, over all daemons.
//
// An account has a Limit, a token bucket. One daemon at a time, its holder, takes the credits of an
// account's requests from the bucket.
package ratelimiter
