// Package linker makes and serves net/rpc calls between daemons over TCP.
//
// A Pool keeps one connection to each peer. A client first sends the digest of the
// deployment's secret; a Server closes connections that begin otherwise. Errors report
// whether the call may have been executed: after ErrUnreached it was not, after ErrLost
// it is unknown.
package linker
