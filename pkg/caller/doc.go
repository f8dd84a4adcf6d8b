// Package caller is the Go client library of pimentorail.
//
// A Client speaks for one client account. A Program numbers its calls, so that
// each call can be repeated after a lost connection: the first outcome is
// returned and nothing runs twice. Failures are *classifier.Fault values that
// say whether the request ran and when to come back.
package caller
