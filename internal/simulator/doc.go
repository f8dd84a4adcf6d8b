// Package simulator tests several daemons together in one process, without sockets.
//
// The tests use fake time, inject faults at every interface and compare the results that
// callers got with a simple reference model. The package contains no other code.
package simulator
