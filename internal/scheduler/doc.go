// Package scheduler decides in which order the calls that wait for a target
// replica run, and how many run at once.
//
// It reads no clock and uses no network or goroutines; callers pass the time in.
// Client accounts share a replica by weighted fair queueing. Within an account, the
// program with the least attained service goes first: service maps to a few levels,
// and ageing moves waiting calls up, so that long programs yield but don't starve.
// Window adapts the number of calls in flight; SpeedEstimate tracks how fast a
// replica answers.
package scheduler
