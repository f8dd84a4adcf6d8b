package cataloger

// Service is a group of interchangeable replicas. Unlike a declarer.Service, a Service here
// may also be a model engine.
type Service struct {
	Name string
	// Connections is the maximum number of connections that a replica accepts from all
	// daemons together.
	Connections int
	// Model reports whether the replicas are model engines.
	Model bool
	// EventTokens is the number of tokens in one event of a model's stream.
	EventTokens int
	// CacheTokens is a replica's KV cache capacity in tokens, for cached prompts and running
	// requests.
	CacheTokens int
	// Unsupported names what the service's replicas require and a daemon does not do, such as
	// TLS; it is empty if requests can be sent.
	Unsupported string
}

// Limits are the maximum sizes of a client's request.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}
