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

// chatRequest is the part of a chat-completions request that is read.
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
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "model: a name is needed")
	case len(q.Messages) == 0 || len(q.Messages) > maxMessages:
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "messages: from 1 to %d are allowed, not %d", maxMessages, len(q.Messages))
	case q.MaxTokens < 0 || q.MaxCompletionTokens < 0:
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "max_tokens: a positive number is allowed")
	case q.N > 1:
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "n: only 1 is allowed, not %d", q.N)
	}
	for i, m := range q.Messages {
		if err := sequencer.CheckMessage(m); err != nil {
			return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "messages/%d: %v", i, err)
		}
	}
	return &q, nil
}

func (q *chatRequest) limit(policy int) int {
	limit := policy
	for _, n := range []int{q.MaxTokens, q.MaxCompletionTokens} {
		if n > 0 {
			limit = min(n, max(limit, n))
		}
	}
	return limit
}

// hash identifies the content of a request for the detection of repeats.
func hash(kind, target string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00", kind, target)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// serveChat serves POST /v1/chat/completions.
func (l *Listener) serveChat(w http.ResponseWriter, r *http.Request) {
	account, body, ok := l.open(w, r, maxChatBytes)
	if !ok {
		return
	}
	q, f := parseChat(body)
	if f != nil {
		writeFault(w, f)
		return
	}
	call, f := l.call(r, account, q.Model, declarer.Engine)
	if f != nil {
		writeFault(w, f)
		return
	}
	call.Messages = q.Messages
	call.MaxTokens = q.limit(l.o.Config.Snapshot().Policy().MaxTokens)
	call.Hash = hash("model", q.Model, hashable(q))
	a := &chatAnswer{writer: w, model: q.Model, usage: q.StreamOptions.IncludeUsage, created: time.Now().Unix(), id: newAnswerID()}
	if q.Stream {
		call.Sink = a.token
	}
	out, f := l.o.Conductor.Run(r.Context(), call)
	a.finish(out, f, q.Stream)
}

// hashable returns the fields that make two requests the same, whether streamed or not.
func hashable(q *chatRequest) []byte {
	data, _ := json.Marshal(struct {
		Messages []json.RawMessage
		Max      int
	}{q.Messages, max(q.MaxTokens, q.MaxCompletionTokens)})
	return data
}

// chatAnswer writes one answer, whole or as server-sent events.
type chatAnswer struct {
	writer  http.ResponseWriter
	id      string
	model   string
	created int64
	usage   bool
	begun   bool
	sent    int
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
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	Details          chatDetails `json:"prompt_tokens_details"`
}

type chatDetails struct {
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

func usageOf(u sequencer.Usage) *chatUsage {
	return &chatUsage{u.Prompt, u.Completion, u.Prompt + u.Completion, chatDetails{u.Cached}}
}

// token writes one token as an event.
func (a *chatAnswer) token(text string) {
	a.begin()
	a.sent += len(text)
	a.event(a.chunk(&chatMessage{Content: text}, nil))
}

func (a *chatAnswer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	a.writer.Header().Set("Content-Type", "text/event-stream")
	a.writer.Header().Set("Cache-Control", "no-cache")
	a.writer.WriteHeader(http.StatusOK)
	a.event(a.chunk(&chatMessage{Role: "assistant"}, nil))
}

func (a *chatAnswer) chunk(delta *chatMessage, finish *string) chatBody {
	return chatBody{
		ID: a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.model,
		Choices: []chatChoice{{Delta: delta, FinishReason: finish}},
	}
}

// event writes one event; a caller that has left is noticed by net/http.
func (a *chatAnswer) event(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(a.writer, "data: %s\n\n", data)
	if f, ok := a.writer.(http.Flusher); ok {
		f.Flush()
	}
}

// finish ends the answer; the end marker follows only a recorded outcome.
func (a *chatAnswer) finish(out *sequencer.Outcome, f *classifier.Fault, stream bool) {
	switch {
	case f != nil && a.begun:
		a.event(failureOf(f))
	case f != nil:
		writeFault(a.writer, f)
	case stream:
		a.finishStream(out)
	default:
		a.label(out)
		writeJSON(a.writer, http.StatusOK, chatBody{
			ID: a.id, Object: "chat.completion", Created: a.created, Model: a.model,
			Choices: []chatChoice{{Message: &chatMessage{"assistant", string(out.Content)}, FinishReason: &out.Finish}},
			Usage:   usageOf(out.Usage),
		})
	}
}

func (a *chatAnswer) label(out *sequencer.Outcome) {
	if out.Number > 0 {
		a.writer.Header().Set(HeaderCall, strconv.Itoa(out.Number))
	}
	a.writer.Header().Set(HeaderRan, string(out.Ran))
}

func (a *chatAnswer) finishStream(out *sequencer.Outcome) {
	if !a.begun {
		a.label(out)
	}
	a.begin()
	if rest := string(out.Content)[min(a.sent, len(out.Content)):]; rest != "" {
		a.event(a.chunk(&chatMessage{Content: rest}, nil))
	}
	a.event(a.chunk(&chatMessage{}, &out.Finish))
	if a.usage {
		last := a.chunk(nil, nil)
		last.Choices, last.Usage = []chatChoice{}, usageOf(out.Usage)
		a.event(last)
	}
	_, _ = fmt.Fprint(a.writer, "data: [DONE]\n\n")
}
