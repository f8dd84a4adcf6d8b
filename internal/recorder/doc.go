// Package recorder writes structured log lines without ever blocking a request.
//
// A Line is filled field by field and ended; lines wait in a bounded ring and
// are written in batches. Lines that find the ring full are dropped and counted,
// and the count is logged itself.
package recorder
