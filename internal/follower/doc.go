// Package follower keeps a copy of one table up to date.
//
// A Follower lists the table, follows its changes, and lists it again when the
// history is gone. It says when the store is lost and when it is regained.
package follower
