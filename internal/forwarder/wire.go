package forwarder

import (
	"net/http"
	"time"

	"pimentorail.example/pimentorail/internal/ranker"
)

// RequestMetadata is the metadata that the forwarder sends to a replica with a request.
type RequestMetadata struct {
	// ReplicaID is the id of the replica that the request is meant for.
	ReplicaID string
	// Remaining is the remaining time until the client's deadline, zero for no deadline.
	Remaining time.Duration
	// Urgency ranges from 0, the most urgent, to 9; a negative value is not sent.
	Urgency int
	// HasAccounts reports whether the configuration names accounts. The replica then gets the
	// name of the request's account, empty for none, and no credential of the client.
	HasAccounts bool
	Account     string
}

// ResponseMetadata is the metadata in the head of a replica's response.
type ResponseMetadata struct {
	// RequestID is the id of the answered request, empty if the response names none or several.
	RequestID string
	// NotRun reports that the request did not run and will not run.
	NotRun bool
	// Misdirected reports that the address belongs to another instance.
	Misdirected bool
	// Leaving reports that the replica has begun a planned stop.
	Leaving bool
	// Limit is the number of requests a second that the replica takes from all daemons
	// together; it is valid only if HasLimit is set.
	Limit float64
	// HasLimit reports whether the response names a limit.
	HasLimit bool
	// Load is the replica's load; it is valid only if HasLoad is set.
	Load ranker.Load
	// HasLoad reports that the response carries a load report.
	HasLoad bool
}

// Codec encodes and decodes the headers of the protocol of clients and replicas.
type Codec interface {
	// EncodeRequest returns the header of a request to send to a replica.
	EncodeRequest(q *Request, m RequestMetadata) http.Header
	// DecodeResponse decodes the head of a replica's response.
	DecodeResponse(status int, h http.Header) ResponseMetadata
	// ClientHeader returns the header to send to the client for a replica's response.
	ClientHeader(h http.Header) http.Header
}
