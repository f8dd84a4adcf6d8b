// Package seater chooses the replica for each request of an availability zone.
//
// A daemon of many sees a replica so seldom that its own idea of the load there is
// old, and daemons that choose alone by fresh reports all choose the same. So the
// requests of a zone to one service are seated at one desk, a daemon that counts
// all of them. A daemon whose desk does not answer chooses alone by what it has
// seen itself. What the desk believes is never needed for correctness.
package seater
