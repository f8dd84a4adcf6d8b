// Package connector is an HTTP/1.1 client that pools connections to replicas.
//
// It never retries a request. An Error reports whether any byte of the request may have
// reached the replica. A response is accepted only if it matches the request; late
// responses to earlier requests are skipped. A connection is reused only after a complete
// exchange that left no unread bytes. The head of a response is bounded in size.
package connector
