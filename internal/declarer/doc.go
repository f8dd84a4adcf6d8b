// Package declarer defines the declarations that operators keep in version
// control: client accounts, targets and policy.
//
// Parse checks a document whole, first against the schema and then for what a
// schema can't say, and returns every fault with its path, its value and what
// is allowed. Objects splits declarations into the rows that a change sends.
package declarer
