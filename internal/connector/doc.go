// Package connector is an HTTP/1.1 client that pools connections to replicas.
//
// It never retries a request. An Error reports whether any byte of the request may have
// reached the replica. A response is accepted only if it matches the request; late
// responses to earlier requests are skipped. A connection is reused only after a complete
// exchange that left no unread bytes. The head of a response is bounded in size.
//
// A faulty replica may write an earlier response once more, at the point where the next one is
// expected. The ID of a Call distinguishes that from its own response, and is therefore sent at
// most once on a connection. A call whose ID was sent on all idle connections gets a new one.
//
// The link of this daemon to a replica may be cut while other daemons reach the replica. A
// connection is then opened through a peer, if the Call has a Detour. What attempts showed of
// the links decides which way is tried (paths); a replica that is silent while a request
// waits has its link checked.
//
// A connection does not survive the end of its process, but the next process at the address
// accepts connections as well. A Call with a Process is sent only on a connection that is known
// to lead to that process, if need be after the replica was asked on it. A direct connection
// that breaks off, and a direct dial that is refused, are reported as the end of the process.
package connector
