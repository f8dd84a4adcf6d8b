// Package trial holds tests that run several daemons' parts together in one
// process, under fake time and with faults at every interface, and compare
// what callers were told with a simple oracle. It has no code of its own.
package trial
