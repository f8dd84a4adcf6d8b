// Package selector chooses the replica for each request of an availability zone.
//
// One daemon of many sends a replica so few requests that its own estimate of the load
// there is stale, and daemons that choose independently by fresh load reports all choose
// the same replica. So all requests of a zone to one service are placed by the service's
// coordinator, a daemon that counts all of them. A daemon whose coordinator does not
// answer chooses by its own estimates. Correctness never depends on the coordinator's
// estimates of load.
//
// The coordinator also counts the requests of its zone against the limits that replicas name
// for all daemons together (limits, shares). A daemon that is not the coordinator in the view
// of the others has a small part of each limit. Requests that were at crashes of replicas are
// tried apart from each other, and not while too many replicas of their service are away
// (trials, absences). A request that resumes a stream is placed only at replicas of the
// version that began the stream.
package selector
