package steward

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/assigner"
)

const (
	closeTries   = 4
	closeTimeout = 500 * time.Millisecond
	// closePause is the first pause between two tries; it doubles.
	closePause = 100 * time.Millisecond
)

// Grant lets one turn run.
type Grant struct {
	steward *Steward
	turn    Turn
	chain   *archivist.Chain
	// home is where the tokens are held; without an address it is this daemon.
	home assigner.Peer
	id   string
	// kept is the turn once it has been recorded.
	kept *archivist.Turn
}

// Chain returns the turn's history, nil if it has none.
func (g *Grant) Chain() *archivist.Chain { return g.chain }

// Home names the daemon that opened the turn, nothing if it is this one.
func (g *Grant) Home() string { return g.home.Name }

// Record keeps what the turn adds to its history; it returns nil only once the
// store has acknowledged it.
func (g *Grant) Record(ctx context.Context, text []byte) error {
	t := archivist.Turn{ID: g.turn.ID, Parent: g.turn.Parent, Text: text}
	if err := g.steward.turns.Record(ctx, g.chain, t); err != nil {
		return err
	}
	g.kept = &t
	return nil
}

// Close ends the turn, which generated some tokens.
func (g *Grant) Close(used int) {
	s := g.steward
	if g.home.Address == "" {
		if g.turn.Tokens > 0 {
			s.budgets.Finish(g.turn.Program, g.turn.Tokens, used)
		}
		return
	}
	if g.turn.Tokens == 0 && g.kept == nil {
		return
	}
	s.closing.Add(1)
	go (&closing{steward: s, home: g.home, request: CloseRequest{ID: g.id, Used: used, Kept: g.kept}}).run()
}

// closing tells the home of a turn that the turn is over. The home counts all of
// its tokens as spent if it never hears of it.
type closing struct {
	steward *Steward
	home    assigner.Peer
	request CloseRequest
}

func (c *closing) run() {
	s := c.steward
	defer s.closing.Done()
	pause := closePause
	for try := 1; ; try++ {
		ctx, cancel := context.WithTimeout(s.tomb.Context(nil), closeTimeout)
		err := s.peers.Call(ctx, c.home.Address, closeMethod, c.request, &CloseReply{})
		cancel()
		if err == nil {
			return
		}
		if try == closeTries {
			s.recorder.Event("steward", "grant left open").Str("home", c.home.Name).Str("grant", c.request.ID).Err(err).End()
			return
		}
		select {
		case <-time.After(pause):
		case <-s.tomb.Dying():
			return
		}
		pause *= 2
	}
}
