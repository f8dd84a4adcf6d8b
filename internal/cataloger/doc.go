// Package cataloger keeps the routes, services and limits in force.
//
// A Catalog is one whole version and never changes. A Keeper holds the newest
// version and refuses to go back. A request keeps the catalog that it began with.
package cataloger
