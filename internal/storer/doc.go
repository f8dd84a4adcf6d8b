// Package storer reaches the platform's table service and object store.
//
// Everything that must outlast a VM is a row or an object. Row versions rise
// with every write, and a Transaction takes effect only if all its conditions
// on versions hold. Use Dial for a client over HTTP; tests use the stand-in.
package storer
