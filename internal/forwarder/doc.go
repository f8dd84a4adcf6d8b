// Package forwarder proxies client requests to replicas. It is the request path of
// `pimentorail serve` and is wired by package server; that of `pimentorail daemon` is in
// package conductor.
//
// It resolves the route, loads the program's history, reserves its budget, chooses a
// replica and sends the request. It retries on another replica only if the route allows
// a request to run twice or if the request did not run on the first replica. That it did not
// run is believed only of a response that names the request, on a connection on which its id
// was sent once. Responses are forwarded unchanged. Events of a stream are forwarded as they
// arrive, but the stream of a turn ends only after the store has acknowledged the turn. A Codec
// defines the names of the headers.
//
// A stream that its client resumes goes on only at the service and the software version that
// began it, or is refused.
package forwarder
