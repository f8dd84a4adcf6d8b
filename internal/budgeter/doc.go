// Package budgeter maintains the token budgets of agent programs.
//
// A program's row holds, for each daemon that ran turns of the program, the number of
// tokens that the daemon has spent or reserved. Tokens are reserved durably before a
// turn runs, so no failure lets a program spend more than its budget. The numbers are
// totals, not increments, so writing one twice or late has no further effect. Only the
// holder changes its number.
//
// Settling a program lowers this daemon's number to the tokens that it has spent or still
// reserves, which makes the rest available to other daemons.
//
// A holder has what it spent, what is reserved for its turns under way, and at most one
// turn of the largest size in advance, and that only while at most half of the budget is
// held by all together. It keeps the advance until a turn uses it, until it settles (0.5 s
// after its last turn, if by the row as it knows it less than four turns are left), or until
// another daemon is about to deny a turn and has it returned (ReturnUnused). While holders
// are alive and reachable, a denial is therefore definite. A holder that is killed keeps its
// advance and the tokens of its turns under way forever. One that is frozen or cut off from
// the store or from the daemon that asks keeps its advance until it can be asked again, at
// most recallRetention after its return (package granter). Neither delays a denial by more
// than one round of 0.3 s, and neither lets a program spend more than its budget.
package budgeter
