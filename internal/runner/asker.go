package runner

import (
	"context"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/limiter"
	"pimentorail.example/pimentorail/internal/messenger"
)

// asker requests slices of an account's limit from the daemon that owns the account.
type asker struct {
	caller messenger.Caller
	leaser *leaser.Leaser
}

var errNoOwner = errors.New("runner: the account has no known owner")

// Ask implements limiter.Asker.
func (a *asker) Ask(ctx context.Context, q limiter.AskRequest) (limiter.AskReply, error) {
	var r limiter.AskReply
	p, ok := a.leaser.Owner(limiter.PartitionOf(q.Account, a.leaser.Partitions()))
	if !ok {
		a.leaser.Refresh()
		return r, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := a.caller.Call(ctx, p.Address, limiter.ServiceName+".Ask", &q, &r)
	if err == nil && r.Moved {
		err = errNoOwner
	}
	if err != nil {
		a.leaser.Refresh()
	}
	return r, err
}
