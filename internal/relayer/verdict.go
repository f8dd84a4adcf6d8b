package relayer

import "time"

// ContactRequest asks a daemon for how long it has read the registry of replicas.
type ContactRequest struct{}

// ContactReply answers a ContactRequest. It holds a duration, since clocks differ.
type ContactReply struct {
	// Contact is for how long the daemon has read the registry itself without interruption,
	// zero if it does not now.
	Contact time.Duration
	// Lost is set if the daemon failed to read the registry before that. It is not set if the
	// daemon had just started or was frozen.
	Lost bool
}

// contactAnswer is the answer of one peer.
type contactAnswer struct {
	reply               ContactReply
	askedAt, answeredAt time.Time
}

// confirmsRegistry decides whether the rows of the registry were correct while this daemon
// could not read them, from begin to end: at least one peer read them throughout, and none
// lost them meanwhile. A peer that lost them shows an outage of the store, of the registry's
// partition, or for some of the daemons, in which replicas may have been unable to renew their
// rows. A peer that was started or frozen meanwhile can't tell. The function has no clock or
// socket.
func confirmsRegistry(answers []contactAnswer, begin, end time.Time) bool {
	throughout := false
	for _, a := range answers {
		switch {
		case a.askedAt.Before(end):
			// It says nothing about the end of the time.
		case a.reply.Contact > 0 && !a.since().After(begin):
			throughout = true
		case a.reply.Lost:
			return false
		}
	}
	return throughout && !end.Before(begin)
}

// since returns the latest time at which the contact may have begun.
func (a contactAnswer) since() time.Time { return a.answeredAt.Add(-a.reply.Contact) }
