// Package server wires the parts of a daemon that stands before replicas which
// register themselves: it follows the configuration and the registry, serves
// clients through a forwarder, says whether it is ready, and stops as planned.
package server
