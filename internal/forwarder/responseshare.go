package forwarder

// responseShare returns the number of bytes that one response may hold: half of what the other
// responses of its replica leave of half of what the other replicas leave of the limit. All is
// the memory that all responses hold, ofReplica that of the responses of the same replica, and
// own that of the response.
//
// It handles a faulty replica whose responses never end, for many clients that read slowly or
// not at all. Any number of its responses hold less than half of the limit, and each of them
// less the more there are. A response of another replica may still hold an eighth of the limit,
// and half as much for each further faulty replica. A single response may hold a quarter.
func responseShare(limit, all, ofReplica, own int64) int64 {
	replicaShare := (limit - (all - ofReplica)) / 2
	return (replicaShare - (ofReplica - own)) / 2
}
