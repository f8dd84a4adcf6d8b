// Package validator checks JSON documents against a schema and reports every
// fault with its path, its value and what is allowed.
package validator
