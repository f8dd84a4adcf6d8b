// Package linker carries net/rpc calls between daemons over TCP.
//
// A Server accepts connections that begin with the deployment's secret; a Pool
// keeps one connection to each peer. Errors say whether the call can have
// reached the peer: ErrUnreached means no, ErrLost means unknown.
package linker
