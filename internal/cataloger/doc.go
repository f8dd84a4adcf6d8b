// Package cataloger holds the current configuration: routes, services and limits.
//
// A Catalog is an immutable snapshot of one configuration version. A Keeper holds the
// newest version and rejects older ones. A request uses the same catalog from start to end.
package cataloger
