package isolator

import "time"

// Crash is a crash of a replica with the marks of its suspects.
type Crash struct {
	Service  string
	At       time.Time
	Suspects []Mark
}

// Judge returns the verdict on each of the suspects' fingerprints.
func Judge(crashes []Crash) map[Fingerprint]Verdict {
	e := newEvidence()
	for n, c := range crashes {
		e.add(row{Service: c.Service, Instance: string(rune('a' + n)), Suspects: c.Suspects}, c.At)
	}
	return judge(e.list(), e.starts)
}

// How long crashes are kept.
const (
	SuspectRetention   = suspectRetention
	CondemnedRetention = condemnedRetention
	RemovalJitter      = removalJitter
)
