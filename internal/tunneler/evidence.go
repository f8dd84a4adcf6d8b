package tunneler

// evidence is what shows whether the process of a replica has ended, after this daemon's own
// connection was refused. Such a connection may also be refused because the link is cut, for
// this daemon alone or for several, and peers may be killed, frozen or cut off themselves. It
// has no clock or socket.
type evidence struct {
	// peers is the number of peers that are known, and answers how many of them gave each
	// status. Peers that did not answer are in none.
	peers   int
	answers map[status]int
	// reaches is set if this daemon reaches other replicas itself, and others if there are any.
	reaches, others bool
}

// contradicted reports whether a peer reaches the replica.
func (e evidence) contradicted() bool { return e.answers[connected] > 0 }

// silent reports whether no peer has answered.
func (e evidence) silent() bool { return len(e.answers) == 0 }

// ended reports whether the process has ended. A peer that answers but can't tell keeps the
// question open, since it or another one may reach the replica. Where no peer answers, nobody
// can contradict the own refused connection, and it is sufficient if this daemon is not cut
// off from everything. Without peers and other replicas it can't find out, and counts it.
func (e evidence) ended() bool {
	switch {
	case e.contradicted():
		return false
	case e.answers[refused] > 0:
		return true
	case !e.silent():
		return false
	}
	return e.reaches || e.peers == 0 && !e.others
}
