// Package dispatcher sends calls to targets over HTTP, each request on a connection of its own.
//
// The chunks of a model stream are numbered. A broken stream is resumed from the next
// number. A stream without an end marker is an error, never a shorter answer.
// The Ran field of an Error reports whether the call may have taken effect at the target.
package dispatcher
