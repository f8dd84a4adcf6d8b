// Package tracker knows the replicas that may be used.
//
// The registry's rows say which replicas live. A row that goes while the
// registry's store was away does not mean that the replica is gone, so such
// replicas stay usable until a grace time after the store's return. A replica
// that starts again under its old id is another instance without memory.
package tracker
