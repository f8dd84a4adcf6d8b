// Package emulator provides fakes of the systems outside the project: the
// platform's table service, object store and list of VMs, model engines, plain
// tool services and the load balancer.
//
// Each fake serves HTTP through its Handler (the balancer forwards TCP), and
// tests also use it in memory. A POST to /fault changes the injected faults at
// run time.
package emulator
