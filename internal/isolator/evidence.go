package isolator

import "time"

// evidence is the rows of all daemons, joined by the instance that crashed.
type evidence struct {
	crashes map[string]*crash
	// served are the beginnings with which daemons have reported to have served requests: true if
	// one of these arrived after the first crash of a suspect with the beginning.
	served map[Fingerprint]bool
	// excused are the instances at whose crashes a suspect was before it was served.
	excused map[Fingerprint][]string
}

func newEvidence() *evidence {
	return &evidence{crashes: map[string]*crash{}, served: map[Fingerprint]bool{}, excused: map[Fingerprint][]string{}}
}

// addPending adds requests that broke off at an instance whose end is not confirmed yet.
func (e *evidence) addPending(b *brokenOff, now time.Time) {
	known := e.crashes[b.instance] != nil
	e.add(row{Service: b.service, Instance: b.instance, Suspects: b.suspects}, now)
	e.crashes[b.instance].confirmed = known
}

// add adds a row that this daemon learned of at a time.
func (e *evidence) add(r row, at time.Time) {
	switch {
	case r.Trial != "":
		return
	case r.Instance == "":
		for _, f := range r.Prefixes {
			e.served[f] = e.served[f] || !r.Earlier
		}
		e.served[r.Served] = e.served[r.Served] || !r.Earlier // The previous build names the start of a body here.
		e.excused[r.Served] = append(e.excused[r.Served], r.Excused...)
		return
	}
	c := e.crashes[r.Instance]
	if c == nil {
		c = &crash{service: r.Service, instance: r.Instance, at: at, confirmed: true, suspects: map[Fingerprint]*suspect{}}
		e.crashes[r.Instance] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, s := range r.Suspects {
		// Daemons of the previous build name no beginnings.
		if known := c.suspects[s.Whole]; known == nil || len(known.Prefixes) < len(s.Prefixes) {
			c.suspects[s.Whole] = &s
		}
	}
}

// list returns the crashes, without the suspects that are excused.
func (e *evidence) list() []crash {
	for f, instances := range e.excused {
		for _, instance := range instances {
			if c := e.crashes[instance]; c != nil {
				delete(c.suspects, f)
			}
		}
	}
	list := make([]crash, 0, len(e.crashes))
	for _, c := range e.crashes {
		list = append(list, *c)
	}
	return list
}
