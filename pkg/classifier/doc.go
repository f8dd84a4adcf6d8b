// Package classifier gives every failure a number, a name and a statement of
// whether the request ran.
//
// A Fault travels unchanged from the part that found it to the caller. Make
// one with New, attach when to come back with After, and find it again in a
// chain of errors with From.
package classifier
