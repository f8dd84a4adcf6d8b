package forwarder

import (
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/scoper"
)

// errTurnNotOpened stands for an error that may hold the ids under which turns and budgets are
// kept, or keys of rows.
var errTurnNotOpened = errors.New("the turn's history or budget can't be read or reserved at present")

// caller returns the text that keeps apart what clients send: the account's scope, or what the
// client protocol says of the caller where the configuration names no accounts.
func (j *job) caller() string {
	if j.scope == (scoper.Scope{}) {
		return j.request.Caller
	}
	return j.scope.String()
}

// withoutScope returns an error that a client may read in place of one that may name an id of its
// account's scope, which is logged.
func (f *Forwarder) withoutScope(j *job, err error) error {
	if j.scope == (scoper.Scope{}) {
		return err
	}
	f.logger.Event("forwarder", "turn not opened").Str("id", j.request.ID).Err(err).End()
	return errTurnNotOpened
}
