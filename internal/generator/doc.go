// Package generator makes whole declarations from the answers of a questionnaire.
//
// The same answers give the same bytes, so that the result can be kept in
// version control and compared.
package generator
