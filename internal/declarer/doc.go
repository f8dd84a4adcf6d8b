// Package declarer defines and validates the declarations of a deployment: client
// accounts, targets and policy. Operators keep them in version control.
//
// Parse validates a document against the schema, then against the rules that a schema
// cannot express. It returns every fault of the failed step, with its path, its value
// and what is allowed. Objects splits declarations into objects, so that a change
// writes only those that differ.
package declarer
