// Package server runs a daemon that forwards client requests to replicas which register
// themselves in the platform's store.
//
// A Daemon follows the configuration and the registry of replicas, serves clients through
// a forwarder, reports its readiness to the balancer, and finishes the requests in flight
// before a planned stop ends it.
package server
