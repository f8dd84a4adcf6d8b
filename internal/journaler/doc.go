// Package journaler commits the records of many calls in one transaction.
//
// Submit queues the writes of one record under the fence of its partition. A batch
// commits only while the daemon still owns every partition in it. Each batch also writes
// its number and hash to the session's batch row, on condition of the row's version. After
// a lost reply, that row shows whether the batch was committed, and a delayed duplicate of
// the batch fails its condition.
package journaler
