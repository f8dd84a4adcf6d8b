package placer

// Part is one part of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Work is what a request asks of a replica.
type Work struct {
	// Parts are the parts of the prompt in order, and Prompt all its tokens.
	Parts  []Part
	Prompt int
	// Output is the expected number of tokens generated.
	Output int
	// Bytes is what the request sends over the network.
	Bytes int
	// Model says that the work is done by a model engine.
	Model bool
}
