// Package dispatcher sends calls to targets over HTTP.
//
// Model streams are numbered: a stream that breaks is resumed from the next
// number, and one without an end marker is an error, never a short answer.
// Service calls report whether they can have had an effect. An Error says so
// in its Ran field.
package dispatcher
