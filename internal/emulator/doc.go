// Package emulator holds small stand-ins for the systems outside the project:
// the platform's table service, object store and list of VMs, model engines,
// plain tool services and the balancer.
//
// Each stand-in is an http.Handler (the balancer a TCP server) and can be used
// in memory by tests. Faults are switched while it runs by a POST to /fault.
package emulator
