// Package cataloger holds the current configuration of `pimentorail serve`: routes,
// services and limits. The declarations of `pimentorail daemon` are in package configurer.
//
// A Catalog is an immutable snapshot of one configuration version. A Keeper holds the
// newest version and rejects older ones. A request uses the same catalog from start to end.
package cataloger
