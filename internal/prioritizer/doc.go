// Package prioritizer decides how urgent a request is at its replica.
//
// A replica admits urgent requests first. Served in the order of their arrival, the
// requests of a load peak make nearly all programs late, because the work of programs that
// have missed their finish time delays those that can still meet it. By urgency, programs
// that are near their finish time go first, new ones wait at their first turn, and those
// that have missed it get what is left.
//
// The package holds decisions only, without clock, socket or lock.
package prioritizer
