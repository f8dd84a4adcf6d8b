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
// could not read them, from begin to end: more peers read them throughout than lost them
// meanwhile. An outage of the store, or of the registry's partition, is seen by all peers. One
// that lost them may have been cut off itself a moment before; if as many did as not, the store
// may have refused replicas as well, which could not renew their rows then. A peer that was
// started or frozen meanwhile can't tell. The function has no clock or socket.
func confirmsRegistry(answers []contactAnswer, begin, end time.Time) bool {
	throughout, lost := tally(answers, begin, end)
	return throughout > lost && !end.Before(begin)
}

// isContested reports whether some peers read the registry throughout and as many lost it, so
// that further peers have to tell. After an outage for all, none did.
func isContested(answers []contactAnswer, begin, end time.Time) bool {
	throughout, lost := tally(answers, begin, end)
	return throughout > 0 && throughout <= lost
}

// tally returns how many peers read the registry throughout, and how many lost it.
func tally(answers []contactAnswer, begin, end time.Time) (throughout, lost int) {
	for _, a := range answers {
		switch {
		case a.askedAt.Before(end):
			// It says nothing about the end of the time.
		case a.reply.Contact > 0 && !a.since().After(begin):
			throughout++
		case a.reply.Lost:
			lost++
		}
	}
	return throughout, lost
}

// since returns the latest time at which the contact may have begun.
func (a contactAnswer) since() time.Time { return a.answeredAt.Add(-a.reply.Contact) }
