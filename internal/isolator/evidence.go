package isolator

import "time"

// evidence is the rows of all daemons, joined by the instance that crashed.
type evidence struct {
	crashes map[string]*crash
	// starts are the starts of the marks that have others than the whole.
	starts map[Fingerprint]Fingerprint
	// excused are the instances at whose crashes a suspect was before it was served.
	excused map[Fingerprint][]string
}

func newEvidence() *evidence {
	return &evidence{crashes: map[string]*crash{}, starts: map[Fingerprint]Fingerprint{}, excused: map[Fingerprint][]string{}}
}

// add adds a row that this daemon learned of at a time.
func (e *evidence) add(r row, at time.Time) {
	if r.Instance == "" {
		e.excused[r.Served] = append(e.excused[r.Served], r.Excused...)
		return
	}
	c := e.crashes[r.Instance]
	if c == nil {
		c = &crash{service: r.Service, at: at, suspects: map[Fingerprint]bool{}}
		e.crashes[r.Instance] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, m := range r.Suspects {
		c.suspects[m.Whole], c.suspects[m.Start] = true, true
		if m.Whole != m.Start {
			e.starts[m.Whole] = m.Start
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
