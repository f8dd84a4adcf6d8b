package tracker

// maxLateRows is the number of rows in a row that count as late writes. A replica writes one
// every second or so, and the store performs a write seconds late at most.
const maxLateRows = 2

// lateRows decides whether rows that look older than the known one are writes that the store
// performed late, or whether the known one is wrong. It has no clock and no socket.
//
// It handles a row of another writer whose numbers its replica has not reached: the rows that the
// replica goes on to write look older for as long as it lives. Late writes are few, and rows that
// look newer come among them.
type lateRows struct {
	last  *Replica
	count int
}

// add records a row that looks older than the known one. It returns true if the known one is wrong.
func (l *lateRows) add(r *Replica) bool {
	switch {
	case l.last == nil || r.Older(l.last):
		l.last, l.count = r, 1
	case l.last.Older(r):
		l.last, l.count = r, l.count+1
	}
	return l.count > maxLateRows
}
