// Package loader generates load: it runs seeded agent programs against a deployment
// and checks the guarantees that callers rely on.
//
// Plan generates the programs of a run from a seed, so that every variant under test
// gets the same arrivals. Play runs them. Report holds the results of the run and the
// guarantees that were violated.
package loader
