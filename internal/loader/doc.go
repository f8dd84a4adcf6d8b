// Package loader plays seeded agent programs against a deployment and checks
// the promises from the callers' side.
//
// Plan makes the programs of a run from a seed, so that every variant meets the
// same arrivals. Player runs them. Report holds what came of it, with the
// promises that were broken.
package loader
