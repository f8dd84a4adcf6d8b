// Package logger writes structured log lines without ever blocking a request.
//
// A Line is built field by field and queued by End. Queued lines are written in batches.
// If the queue is full, lines are dropped and counted, and the count itself is logged. If the
// writer fails, the lines of the batch are lost and counted in the same way, and the next batch
// is written as usual.
package logger
