// Package scoper keeps apart what client accounts name alike.
//
// Clients choose the ids of their turns, programs and streams, and accounts that don't trust each
// other may choose the same ones. Whatever is kept under such an id, in a row, in memory or in a
// message between daemons, is kept under the id that a Scope returns for it. That id is an opaque
// text, so that a daemon of a build without accounts can hold it for one that has them.
package scoper
