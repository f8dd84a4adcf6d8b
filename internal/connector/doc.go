// Package connector is an HTTP/1.1 client that pools connections to replicas.
//
// It never retries a request. An Error reports whether any byte of the request may have
// reached the replica. A response is accepted only if it matches the request; late
// responses to earlier requests are skipped. A connection is reused only after a complete
// exchange that left no unread bytes. The head of a response is bounded in size.
//
// The link of this daemon to a replica may be cut while other daemons reach the replica. A
// connection is then opened through a peer, if the Call has a Detour. What attempts showed of
// the links decides which way is tried (paths); a replica that is silent while a request
// waits has its link checked.
package connector
