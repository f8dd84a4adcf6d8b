// Package storer defines the interfaces of the store, and is the client of the reference
// platform's store: its table service and object store. Package platform implements the
// same interfaces for the users' platform.
//
// All state that must outlive a VM is a row or an object. A row's version increases with
// every write, and a Transaction is applied only if all its conditions on versions hold.
// NewClient returns a client over HTTP; tests use the fake store of package emulator. A Guard
// detects outages of the store and makes requests fail fast meanwhile, and paces writes that
// the store throttles.
package storer
