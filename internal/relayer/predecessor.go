package relayer

import (
	"context"
	"encoding/json"
	"time"
)

// checkPredecessor logs whether the process before this one on the VM left its member row
// behind. A planned stop removes the row, so that process was killed, ended by itself, or is
// still stopping. It reads the row at the first attempt to join only, and before it is
// overwritten.
func (x *Relayer) checkPredecessor(ctx context.Context) {
	if x.predecessorChecked {
		return
	}
	x.predecessorChecked = true
	row, err := x.direct.Get(ctx, x.key())
	if err != nil {
		x.logger.Event("server", "predecessor unknown").Err(err).End()
		return
	}
	var m member
	if row.Version == 0 || json.Unmarshal(row.Value, &m) != nil || m.Process == x.options.Process {
		return
	}
	x.logger.Event("server", "predecessor ended without a planned stop").Str("name", m.Process).
		Str("renewed", time.UnixMilli(m.RenewedMS).UTC().Format(time.RFC3339)).End()
}
