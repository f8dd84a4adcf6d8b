package emulator

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of a chat-completions request that an engine reads.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
}

// Usage holds the token counts reported at the end of a stream.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Chunk is one event of an engine's stream. The last one has a finish reason and usage.
type Chunk struct {
	ID      string `json:"id"`
	Number  int    `json:"number"`
	Content string `json:"content"`
	Finish  string `json:"finish_reason,omitempty"`
	Usage   *Usage `json:"usage,omitempty"`
}
