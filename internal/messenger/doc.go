// Package messenger makes and serves net/rpc calls between daemons over TCP.
//
// A Pool keeps one connection to each peer. A client first sends the digest of the
// deployment's secret; a Server closes connections that begin otherwise. Errors report
// whether the call may have been executed: after ErrNotSent it was not, after ErrNoReply
// it is unknown.
//
// A peer may also open a connection of its own that carries no RPC (OpenStream); what it
// sends first says for which handler the connection is.
package messenger
