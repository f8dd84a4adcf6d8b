// Package budgeter keeps the token budgets of agent programs.
//
// A program's row holds, for each daemon that ran turns of it, the tokens that
// the daemon has spent or reserved. Tokens are reserved durably before a turn
// runs, so no failure can let a program spend more than its budget. The figures
// are absolute, not steps: writing one twice, or late, changes nothing.
package budgeter
