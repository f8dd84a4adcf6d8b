// Package journaler commits records of many calls in one transaction.
//
// Submit queues the writes of one record under the fence of its partition. A
// batch takes effect only while the daemon still owns every partition in it.
// A batch is numbered in one row of the session, so that after a lost answer
// the row says whether the batch took effect, and a late duplicate cannot.
package journaler
