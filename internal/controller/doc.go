// Package controller brings engines to their declared state: role, models,
// adapters and versions.
//
// The owner of a replica compares its state with the declared one and sends one
// order for the whole desired state under a fencing number, the version of its
// partition row. Orders say what should be, not steps, so a repeat is harmless.
// An engine that ignores fencing numbers gets its first order only after the
// earlier owner's lease and orders are over, and is read again afterwards.
package controller
