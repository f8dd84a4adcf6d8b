// Package supervisor keeps a process running when one of its goroutines panics.
//
// A panic that no function recovers from ends the process and all requests in progress. Here
// it becomes an error: a Loop is started again after a backoff, a Task ends alone, and whoever
// waits for the result of a one-shot goroutine gets the error (Recover, Return). Each failure
// is counted, and reported to the observers at a bounded rate. The counts and observers are
// those of the process, as a panic concerns all of it.
//
// Fatal errors of the runtime, such as concurrent writes of a map or a stack overflow, can't be
// recovered from.
package supervisor
