package ratelimiter

import "time"

// Entry is what a bucket holds when a message is sent.
type Entry struct {
	Key         uint64
	Credits     float64
	Rate, Burst float64
	// Version is that of the configuration which has the limit.
	Version uint64
}

// Ballot asks a member of an arc's trio to let a candidate hold the arc, or to go on doing so.
type Ballot struct {
	// Arc is the name of the member whose arc it is.
	Arc string
	// Candidate is the member that asks, and Process the name of its process.
	Candidate Member
	Process   string
	// Trio is the arc's trio as the candidate knows it.
	Trio []Member
	// Acquire asks for what the voter knows of the arc's accounts. It is set unless the candidate holds the arc.
	Acquire bool
	// Inquiry asks only for that, since another member has voted for the candidate.
	Inquiry bool
	// Entries are the accounts that changed since the voter last confirmed a ballot of the candidate.
	Entries []Entry
}

// Vote is the reply to a Ballot.
type Vote struct {
	// Granted lets the candidate hold the arc for Lease from when it sent the ballot.
	Granted bool
	// Leaving reports that the voter stops, and Trio is set if the voter knows another one.
	Leaving bool
	Trio    []Member
	// Entries are the accounts that the voter knows, if the ballot acquires. What they hold is what the last holder,
	// whose process is Holder, had told. It is exact if that one has handed the arc over.
	Entries []Entry
	Holder  string
	Exact   bool
	// Age is the age of the voter's process.
	Age time.Duration
}

// Release hands an arc over to the member that follows its holder, which stops.
type Release struct {
	Arc string
	// Process is that of the holder.
	Process string
	Entries []Entry
	// Age is for how long the holder knows of all credits taken.
	Age time.Duration
}
