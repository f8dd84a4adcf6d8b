package cataloger

// Service is a group of equal replicas.
type Service struct {
	Name string
	// Connections is the most connections that a replica accepts from all daemons.
	Connections int
	// Model says that the replicas are model engines.
	Model bool
	// EventTokens is the number of tokens of one event of a model's stream.
	EventTokens int
	// CacheTokens is the memory of a replica for prompts and runs, in tokens.
	CacheTokens int
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}
