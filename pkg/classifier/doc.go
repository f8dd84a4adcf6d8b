// Package classifier gives every failure a numeric code, a name and a statement of whether
// the request ran.
//
// A Fault is passed unchanged from the component that detects the failure to the caller. Use
// New to create one, After to set when to retry, and From to extract it from a chain of
// wrapped errors.
package classifier
