// Package isolator finds requests that crash the replicas that run them, and keeps them from
// further replicas.
//
// A replica that crashes breaks off all requests that it has, so each of them is suspect. An
// Isolator records crashes with their suspects in rows that all daemons follow, so that what
// is known outlives a daemon and is the same in all. A request that was at several crashes,
// and at each of which no other request explains the crashes as well, is condemned: it is
// refused until its rows expire. A suspect that is not condemned is still served, apart from
// other suspects (package selector), so that the next crash tells them apart.
//
// The judgment (judge) has no clock and no store.
package isolator
