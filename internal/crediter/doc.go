// Package crediter tells from the daemons' log lines where the time of programs
// went that ended late, against those that ended in time.
package crediter
