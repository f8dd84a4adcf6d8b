// Package sequencer owns programs: the order of their calls, their history,
// their budget and the at-most-once records of their calls.
//
// A program belongs to one partition of programs, the unit of ownership, which is
// chosen by the id of its root, so that one daemon accounts for the budget of a whole
// tree of sub-agents. Begin admits a call and grants a ticket; the entry daemon, which
// received the caller's request, dispatches the call; Finish records the outcome. A turn
// is any recorded call, of a model or a service. A call is complete only once its
// record is committed. A takeover costs only the write of the partition's row, since
// programs are loaded on first use.
package sequencer
