package forwarder

import (
	"net/http"
	"time"

	"pimentorail.example/pimentorail/internal/placer"
)

// Order is the metadata that the forwarder sends to a replica with a request.
type Order struct {
	// Replica is the id of the replica that the request is meant for.
	Replica string
	// Left is the remaining time until the client's deadline, zero for no deadline.
	Left time.Duration
	// Urgency ranges from 0, the most urgent, to 9; a negative value is not sent.
	Urgency int
}

// Answer is the metadata in the head of a replica's response.
type Answer struct {
	// Request is the id of the answered request.
	Request string
	// NotRun reports that the request did not run and will not run.
	NotRun bool
	// Elsewhere reports that the address belongs to another instance.
	Elsewhere bool
	// Load is the replica's load; it is valid only if Loaded is set.
	Load placer.Load
	// Loaded reports that the response carries a load report.
	Loaded bool
}

// Wire encodes and decodes the headers of the protocol of clients and replicas.
type Wire interface {
	// Outgoing returns the header of a request to send to a replica.
	Outgoing(q *Request, o Order) http.Header
	// Incoming decodes the head of a replica's response.
	Incoming(status int, h http.Header) Answer
	// Reply returns the header to send to the client for a replica's response.
	Reply(h http.Header) http.Header
}
