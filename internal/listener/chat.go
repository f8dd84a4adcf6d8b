package listener

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	maxChatBytes = 16 << 20
	maxMessages  = 10_000
)

// chatRequest holds the fields of a chat-completions request that the listener reads.
type chatRequest struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	N                   int               `json:"n"`
	Stream              bool              `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// parseChat checks and decodes the body of a chat-completions request.
func parseChat(data []byte) (*chatRequest, *classifier.Fault) {
	var q chatRequest
	if err := json.Unmarshal(data, &q); err != nil {
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "body: %v", err)
	}
	switch {
	case q.Model == "":
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "model: must not be empty")
	case len(q.Messages) == 0 || len(q.Messages) > maxMessages:
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "messages: the number must be from 1 to %d, not %d", maxMessages, len(q.Messages))
	case q.MaxTokens < 0 || q.MaxCompletionTokens < 0:
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "max_tokens: must not be negative")
	case q.N > 1:
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "n: must be 1, not %d", q.N)
	}
	for i, m := range q.Messages {
		if err := sequencer.CheckMessage(m); err != nil {
			return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "messages/%d: %v", i, err)
		}
	}
	return &q, nil
}

// tokenLimit returns the limit that the request sets, or defaultLimit if it sets none. If
// both fields are set, max_completion_tokens wins.
func (q *chatRequest) tokenLimit(defaultLimit int) int {
	limit := defaultLimit
	for _, n := range []int{q.MaxTokens, q.MaxCompletionTokens} {
		if n > 0 {
			limit = min(n, max(limit, n))
		}
	}
	return limit
}

// hashRequest returns a hash of a request's content, by which repeated requests are detected.
func hashRequest(kind, target string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00", kind, target)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// serveChat serves POST /v1/chat/completions.
func (l *Listener) serveChat(w http.ResponseWriter, r *http.Request) {
	account, body, ok := l.readRequest(w, r, maxChatBytes)
	if !ok {
		return
	}
	q, f := parseChat(body)
	if f != nil {
		writeFault(w, f)
		return
	}
	call, f := l.newCall(r, account, q.Model, declarer.Engine)
	if f != nil {
		writeFault(w, f)
		return
	}
	call.Messages = q.Messages
	call.MaxTokens = q.tokenLimit(l.options.Config.Snapshot().Policy().MaxTokens)
	call.Hash = hashRequest("model", q.Model, hashInput(q))
	c := &chatResponse{writer: w, model: q.Model, includeUsage: q.StreamOptions.IncludeUsage, created: time.Now().Unix(), id: newCompletionID()}
	if q.Stream {
		call.Sink = c.writeToken
	}
	out, f := l.options.Conductor.Run(r.Context(), call)
	c.finish(out, f, q.Stream)
}

// hashInput encodes the fields that identify a request. Streaming is left out, so a repeated
// request may differ in it.
func hashInput(q *chatRequest) []byte {
	data, _ := json.Marshal(struct {
		Messages []json.RawMessage
		Max      int
	}{q.Messages, max(q.MaxTokens, q.MaxCompletionTokens)})
	return data
}

// chatResponse writes the response to one chat request, as one JSON body or as server-sent
// events.
type chatResponse struct {
	writer       http.ResponseWriter
	id           string
	model        string
	created      int64
	includeUsage bool
	started      bool
	sentBytes    int
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatUsage struct {
	PromptTokens     int                `json:"prompt_tokens"`
	CompletionTokens int                `json:"completion_tokens"`
	TotalTokens      int                `json:"total_tokens"`
	Details          promptTokenDetails `json:"prompt_tokens_details"`
}

type promptTokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type chatBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func newChatUsage(u sequencer.Usage) *chatUsage {
	return &chatUsage{u.Prompt, u.Completion, u.Prompt + u.Completion, promptTokenDetails{u.Cached}}
}

// writeToken writes one token as an event.
func (c *chatResponse) writeToken(text string) {
	c.start()
	c.sentBytes += len(text)
	c.writeEvent(c.newChunk(&chatMessage{Content: text}, nil))
}

func (c *chatResponse) start() {
	if c.started {
		return
	}
	c.started = true
	c.writer.Header().Set("Content-Type", "text/event-stream")
	c.writer.Header().Set("Cache-Control", "no-cache")
	c.writer.WriteHeader(http.StatusOK)
	c.writeEvent(c.newChunk(&chatMessage{Role: "assistant"}, nil))
}

func (c *chatResponse) newChunk(delta *chatMessage, finish *string) chatBody {
	return chatBody{
		ID: c.id, Object: "chat.completion.chunk", Created: c.created, Model: c.model,
		Choices: []chatChoice{{Delta: delta, FinishReason: finish}},
	}
}

// writeEvent writes one event. It ignores write errors, because net/http detects a caller
// that has disconnected.
func (c *chatResponse) writeEvent(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c.writer, "data: %s\n\n", data)
	if f, ok := c.writer.(http.Flusher); ok {
		f.Flush()
	}
}

// finish completes the response. Only a recorded outcome is followed by the end marker.
func (c *chatResponse) finish(out *sequencer.Outcome, f *classifier.Fault, stream bool) {
	switch {
	case f != nil && c.started:
		c.writeEvent(newErrorResponse(f))
	case f != nil:
		writeFault(c.writer, f)
	case stream:
		c.finishStream(out)
	default:
		c.setHeaders(out)
		writeJSON(c.writer, http.StatusOK, chatBody{
			ID: c.id, Object: "chat.completion", Created: c.created, Model: c.model,
			Choices: []chatChoice{{Message: &chatMessage{"assistant", string(out.Content)}, FinishReason: &out.Finish}},
			Usage:   newChatUsage(out.Usage),
		})
	}
}

func (c *chatResponse) setHeaders(out *sequencer.Outcome) {
	if out.Number > 0 {
		c.writer.Header().Set(HeaderCall, strconv.Itoa(out.Number))
	}
	c.writer.Header().Set(HeaderRan, string(out.Ran))
}

func (c *chatResponse) finishStream(out *sequencer.Outcome) {
	if !c.started {
		c.setHeaders(out)
	}
	c.start()
	if rest := string(out.Content)[min(c.sentBytes, len(out.Content)):]; rest != "" {
		c.writeEvent(c.newChunk(&chatMessage{Content: rest}, nil))
	}
	c.writeEvent(c.newChunk(&chatMessage{}, &out.Finish))
	if c.includeUsage {
		last := c.newChunk(nil, nil)
		last.Choices, last.Usage = []chatChoice{}, newChatUsage(out.Usage)
		c.writeEvent(last)
	}
	_, _ = fmt.Fprint(c.writer, "data: [DONE]\n\n")
}
