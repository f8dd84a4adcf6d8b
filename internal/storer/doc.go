// Package storer is the client of the platform's table service and object store.
//
// All state that must outlive a VM is a row or an object. A row's version increases with
// every write, and a Transaction is applied only if all its conditions on versions hold.
// NewClient returns a client over HTTP; tests use the fake store of package emulator. A Guard
// detects outages of the service and makes requests fail fast meanwhile.
package storer
