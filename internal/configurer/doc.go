// Package configurer accepts declarations and keeps them in force.
//
// Apply is accepted by compare-and-swap on one head row and writes only what
// changed, with one change row a version that is also the audit trail. Each
// daemon's Watcher follows the head, applies versions in order and never goes
// back. While the store is away it asks peers; one that can confirm the head
// from neither says so with Sure.
package configurer
