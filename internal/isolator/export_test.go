package isolator

import (
	"fmt"
	"time"
)

// Crash is a crash of a replica with the marks of its suspects.
type Crash struct {
	Service  string
	At       time.Time
	Suspects []Mark
}

// Judge returns the verdict on each of the suspects' fingerprints.
func Judge(crashes []Crash, served ...Mark) map[Fingerprint]Verdict {
	e := newEvidence()
	for n, c := range crashes {
		r := row{Service: c.Service, Instance: fmt.Sprint(n)}
		for _, m := range c.Suspects {
			r.Suspects = append(r.Suspects, newSuspect(m, nil))
		}
		e.add(r, c.At)
	}
	for _, m := range served {
		for _, f := range m.beginnings() {
			e.served[f] = true
		}
	}
	found := judge(e.list(), e.served, func(Fingerprint) time.Time { return time.Time{} }, nil)
	for f, b := range found.beginnings {
		found.wholes[f] = Verdict{Crashes: b.crashes, Condemned: b.condemned}
	}
	return found.wholes
}

// Beginnings returns the fingerprints of the beginnings of a request, the shortest first.
func Beginnings(m Mark) []Fingerprint { return m.beginnings() }

// How long crashes are kept.
const (
	SuspectRetention   = suspectRetention
	CondemnedRetention = condemnedRetention
	RemovalJitter      = removalJitter
)

// PutOffJudgment puts off the next judgment, as one does that took a tenth of the time.
func (i *Isolator) PutOffJudgment(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.judgeAt = time.Now().Add(d)
}
