// Package forwarder carries a client's request to a replica and its answer back.
//
// It finds the route, the program's history and its budget, places the request,
// sends it, and repeats it elsewhere only where the route allows it or the
// replica has said that it did not run. Answers go to the client as they are;
// events of a stream are passed on as they come, and the end of a turn is held
// back until the store has acknowledged the turn. The names of headers belong to
// a Wire.
package forwarder
