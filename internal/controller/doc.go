// Package controller brings engines to their declared state: role, models, adapters and
// versions.
//
// The owner of a replica compares the engine's state with the declared one. If they
// differ, it sends one order with the complete desired state under a fencing number, the
// version of its partition row. An order states a result, not steps, so repeating it is
// harmless. An engine that ignores fencing numbers gets its first order only after the
// lease and the orders of the previous owner have expired. The state is read again after
// every order.
package controller
