// Package scheduler decides in which order the calls that wait for a target
// replica run, and how many run at once.
//
// It holds state and decisions only: no clock, no socket, no goroutine. Client
// accounts share by weighted fair queueing; within an account the program with
// the least attained service goes first, in a few levels with ageing, so that
// long programs sink but are never starved. Window adapts the number of calls
// in flight; Pace tracks how fast a replica answers.
package scheduler
