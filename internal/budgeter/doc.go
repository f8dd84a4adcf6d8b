// Package budgeter maintains the token budgets of agent programs.
//
// A program's row holds, for each daemon that ran turns of the program, the number of
// tokens that the daemon has spent or reserved. Tokens are reserved durably before a
// turn runs, so no failure lets a program spend more than its budget. The numbers are
// totals, not increments, so writing one twice or late has no further effect.
//
// Settling a program lowers this daemon's number to the tokens that it has spent or still
// reserves, which makes the rest available to other daemons.
package budgeter
