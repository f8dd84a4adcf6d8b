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
// A client that keeps its conversation itself sends a crashing request with more content each
// time. Each request therefore has a ladder of fingerprints of beginnings of its body. If
// several different bodies crashed replicas, the longest beginning that they have in common is
// condemned, unless a request with that beginning which arrived after the first crash was
// served; the daemon that served it reports that in a row. Requests that were served in the
// minutes before only raise the number of crashes that it takes. A request with a condemned
// beginning that was not condemned itself is held: all daemons together try one, alone, at
// falling intervals. Its success clears the beginning for all daemons, and a crash counts.
//
// The judgment (judge) has no clock and no store.
package isolator
