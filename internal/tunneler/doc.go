// Package tunneler opens connections to replicas through peers, for a daemon whose own links
// to the replicas are cut while its peers reach them.
//
// A tunnel is one connection to a peer, which dials the replica and copies bytes in both
// directions. The daemon that received the request keeps all of its duties: the turn, the
// placement, the limits and the proof that a request was not sent. A peer dials only replicas
// that it knows itself, by id and start, and only directly, so a tunnel has one hop.
//
// Peers also tell whether the process of a replica has ended (Ended). Those that don't answer
// can't contradict what this daemon finds itself.
//
// What the replica sends is framed, so that the end of its connection and the loss of the peer
// can be told apart: the body of a response may end with the connection. What the daemon
// sends is not framed.
package tunneler
