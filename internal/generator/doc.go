// Package generator generates complete declarations from the answers to a questionnaire.
//
// The output is deterministic: the same answers give the same bytes, so that the result
// can be kept in version control and compared.
package generator
