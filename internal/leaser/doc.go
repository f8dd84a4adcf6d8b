// Package leaser maintains a daemon's membership lease and the partitions that it owns.
//
// Each daemon renews its member row in the table service. An observer considers a lease
// expired once the row's version has stayed unchanged for the lifetime of a lease on the
// observer's own monotonic clock; clocks of different daemons are never compared. A
// partition row names its owner and is taken over by compare-and-swap; its version is
// the fence of every journal write. The holder measures its lease from before it sent the
// renewal, and observers measure it from after they saw the renewal, so a holder always
// stops before an observer takes over.
package leaser
