// Package sequencer owns programs: the order of their calls, their history,
// their budget and the at-most-once records of their calls.
//
// A program belongs to one partition, chosen by the id of its root, so that one
// daemon accounts for the budget of a whole tree of sub-agents. Begin admits a call
// and grants a ticket; the entry daemon, which received the caller's request,
// dispatches the call; Finish records the outcome. A call is complete only once its
// record is committed. Programs are loaded on first use, so a partition takeover
// writes a single row.
package sequencer
