package granter

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	closeAttempts = 4
	closeTimeout  = 500 * time.Millisecond
	// closeBackoff is the pause after the first attempt; it doubles after each further one.
	closeBackoff = 100 * time.Millisecond
)

// Grant is the permission to run one turn.
type Grant struct {
	granter *Granter
	turn    Turn
	chain   *archivist.Chain
	// coordinator is the daemon that holds the reserved tokens; its address is empty
	// if that is this daemon.
	coordinator assigner.Peer
	id          string
	// persisted is the turn once it has been recorded.
	persisted *archivist.Turn
}

// Chain returns the turn's history, nil if it has none.
func (g *Grant) Chain() *archivist.Chain { return g.chain }

// Coordinator returns the name of the coordinator that opened the turn, empty if this
// daemon opened it.
func (g *Grant) Coordinator() string { return g.coordinator.Name }

// Record persists what the turn adds to its history; it returns nil only once the
// store has acknowledged the write.
func (g *Grant) Record(ctx context.Context, text []byte) error {
	t := archivist.Turn{ID: g.turn.ID, Parent: g.turn.Parent, Text: text}
	if err := g.granter.turns.Record(ctx, g.chain, t); err != nil {
		return err
	}
	g.persisted = &t
	return nil
}

// Close ends the turn; used is the number of tokens that it generated.
func (g *Grant) Close(used int) {
	s := g.granter
	g.chain.Release()
	if g.coordinator.Address == "" {
		if g.turn.Tokens > 0 {
			s.budgets.Finish(g.turn.Program, g.turn.Tokens, used)
		}
		return
	}
	if g.turn.Tokens == 0 && g.persisted == nil {
		return
	}
	kept := g.persisted
	if kept != nil && len(kept.Text) > maxKeptBytes {
		kept = nil
	}
	s.pendingCloses.Add(1)
	go (&closeCall{granter: s, coordinator: g.coordinator, request: CloseRequest{ID: g.id, Used: used, Kept: kept}}).run()
}

// closeCall notifies a coordinator that a turn has ended, with retries. If no
// attempt arrives, the coordinator counts all reserved tokens as spent.
type closeCall struct {
	granter     *Granter
	coordinator assigner.Peer
	request     CloseRequest
}

func (c *closeCall) run() {
	s := c.granter
	defer s.pendingCloses.Add(-1)
	defer supervisor.Recover("granter: close of a grant")
	backoff := closeBackoff
	for attempt := 1; ; attempt++ {
		ctx, cancel := context.WithTimeout(s.tomb.Context(nil), closeTimeout)
		err := s.peers.Call(ctx, c.coordinator.Address, closeMethod, c.request, &CloseReply{})
		cancel()
		if err == nil {
			return
		}
		if attempt == closeAttempts {
			// Steward and home mean granter and coordinator; see ServiceName.
			s.logger.Event("steward", "grant left open").Str("home", c.coordinator.Name).Str("grant", c.request.ID).Err(err).End()
			return
		}
		select {
		case <-time.After(backoff):
		case <-s.tomb.Dying():
			return
		}
		backoff *= 2
	}
}
