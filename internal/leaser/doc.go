// Package leaser keeps a daemon's membership lease and its partitions.
//
// Each daemon renews one member row in the table service. Observers judge a
// lease by an unchanged row version on their own monotonic clock; clocks are
// never compared. A partition row names its owner and is taken over by
// compare-and-swap; its version is the fence of every journal write. The holder
// counts its lease from before the renewal was sent, and observers count from
// after they saw it, so a holder always stops before an observer takes over.
package leaser
