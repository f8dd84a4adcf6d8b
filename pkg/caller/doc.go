// Package caller is the Go client library of pimentorail.
//
// A Client sends requests on behalf of one client account. A Program numbers its calls, so
// that a call can be repeated after a lost connection: the service returns the outcome of
// the first attempt and runs nothing twice. Failures are *classifier.Fault values that state
// whether the request ran and when to retry.
package caller
