package forwarder

import (
	"net/http"
	"time"

	"pimentorail.example/pimentorail/internal/placer"
)

// Order is what the forwarder tells a replica with a request.
type Order struct {
	// Replica is the id of the instance that is to run the request.
	Replica string
	// Left is the time until the client stops waiting, zero for no end.
	Left time.Duration
	// Urgency is from 0, first, to 9; a negative one is not sent.
	Urgency int
}

// Answer is what the head of a replica's answer says beside the answer itself.
type Answer struct {
	// Request is the id of the request that is answered.
	Request string
	// NotRun says that the request did not run and won't.
	NotRun bool
	// Elsewhere says that another instance has the address.
	Elsewhere bool
	Load      placer.Load
	// Loaded says that the answer has a load report.
	Loaded bool
}

// Wire translates between the forwarder and the protocol of clients and replicas.
type Wire interface {
	// Outgoing returns the header of a request to a replica.
	Outgoing(q *Request, o Order) http.Header
	// Incoming decodes the head of a replica's answer.
	Incoming(status int, h http.Header) Answer
	// Reply returns the header of a replica's answer as a client gets it.
	Reply(h http.Header) http.Header
}
