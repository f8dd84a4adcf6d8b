// Package sequencer owns programs: the order of their calls, their history,
// their budget and the at-most-once records of their calls.
//
// A program belongs to one partition, by the id of its root, so that a whole
// tree of sub-agents draws on one budget in one place. Begin gives a call its
// turn and a ticket; the entry dispatches the call; Finish records the outcome.
// A call counts as complete only once its record is committed. Programs are
// loaded on first use, so taking a partition over costs one row.
package sequencer
