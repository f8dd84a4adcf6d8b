package ranker

// Part is a part of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Work describes the demand of a request on a replica.
type Work struct {
	// Parts are the parts of the prompt in order, and Prompt is its number of tokens.
	Parts  []Part
	Prompt int
	// Output is the expected number of generated tokens.
	Output int
	// Bytes is the size of the request on the network.
	Bytes int
	// Model reports whether a model engine does the work.
	Model bool
}
