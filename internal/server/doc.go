// Package server runs the daemon of `pimentorail serve`, which forwards client requests to
// replicas that register themselves in the store of the users' platform. Package platform
// supplies the settings and the adapters of that platform.
//
// The daemon owns no partitions. It is built from forwarder, selector, ranker, granter,
// archivist, budgeter, tracker and relayer, among others. Package runner runs the other
// kind of daemon, that of `pimentorail daemon`.
//
// A Daemon follows the configuration and the registry of replicas, serves clients through
// a forwarder, reports its readiness to the balancer, and finishes the requests in flight
// before a planned stop ends it.
package server
