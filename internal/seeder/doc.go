// Package seeder sets a fixed seed for the property tests of a package, so that
// every run draws the same cases. The flag -rapid.seed overrides it.
package seeder
