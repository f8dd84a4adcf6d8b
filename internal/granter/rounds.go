package granter

import "time"

const (
	// recallRetention is the time from the start of a round until the program's next one. The
	// tokens that turns did not use count as spent until 1 s after the end of the turn, so a
	// round less than 1 s old has asked for all that must be returned by now.
	recallRetention = 800 * time.Millisecond
	// maxRounds bounds the programs for which a round is in progress or remembered.
	maxRounds = 4096
)

// round is one request to the holders of a program's tokens to return what they do not use.
type round struct {
	beganAt time.Time
	// endedAt is zero while the round is in progress.
	endedAt time.Time
	// changed is set at the end if the program's row may have changed.
	changed bool
	// done is closed at the end of the round.
	done chan struct{}
}

// rounds are the recent rounds by program. It handles programs that have spent their budget
// and whose clients ask again at once, in parallel: each program has at most one round per
// recallRetention.
type rounds struct {
	byProgram map[string]*round
}

// begin returns the round that a turn has to wait for, denied by a row that was read after
// readAt, and whether the caller has to run it. It returns nil if the turn is denied: the
// holders were asked a moment ago, before the row was read, or too many programs are denied.
func (s *rounds) begin(program string, readAt, now time.Time) (r *round, started bool) {
	if r = s.byProgram[program]; r != nil && now.Sub(r.beganAt) < recallRetention {
		if !r.endedAt.IsZero() && r.endedAt.Before(readAt) {
			return nil, false
		}
		return r, false
	}
	if r != nil && r.endedAt.IsZero() {
		return r, false
	}
	if len(s.byProgram) >= maxRounds {
		s.forget(now)
	}
	if len(s.byProgram) >= maxRounds {
		return nil, false
	}
	if s.byProgram == nil {
		s.byProgram = map[string]*round{}
	}
	r = &round{beganAt: now, done: make(chan struct{})}
	s.byProgram[program] = r
	return r, true
}

// mayBegin reports whether begin would return a round.
func (s *rounds) mayBegin(program string, readAt, now time.Time) bool {
	r := s.byProgram[program]
	return r == nil || r.endedAt.IsZero() || now.Sub(r.beganAt) >= recallRetention || !r.endedAt.Before(readAt)
}

// forget removes the rounds that are over and no longer prevent another one.
func (s *rounds) forget(now time.Time) {
	for program, r := range s.byProgram {
		if !r.endedAt.IsZero() && now.Sub(r.beganAt) >= recallRetention {
			delete(s.byProgram, program)
		}
	}
}
