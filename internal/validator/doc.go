// Package validator validates JSON documents against a JSON schema and reports every
// fault with its path, its value and what is allowed.
package validator
