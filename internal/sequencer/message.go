package sequencer

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// message holds the fields that equalMessages compares.
type message struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
}

// CheckMessage returns an error if a message is not valid JSON or has no role.
func CheckMessage(raw json.RawMessage) error {
	var m message
	if err := json.Unmarshal(raw, &m); err != nil {
		return errors.Wrap(err, "message")
	}
	if m.Role == "" {
		return errors.New("message has no role")
	}
	return nil
}

// equalMessages reports whether two messages agree in role, content and tool calls.
func equalMessages(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var x, y message
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return x.Role == y.Role && x.ToolCallID == y.ToolCallID &&
		equalJSON(x.Content, y.Content) && equalJSON(x.ToolCalls, y.ToolCalls)
}

// equalJSON compares two values without regard to white space and string escapes.
func equalJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, nullIfEmpty(a)) != nil || json.Compact(&y, nullIfEmpty(b)) != nil {
		return false
	}
	if bytes.Equal(x.Bytes(), y.Bytes()) {
		return true
	}
	var s, t string
	return json.Unmarshal(a, &s) == nil && json.Unmarshal(b, &t) == nil && s == t
}

func nullIfEmpty(a json.RawMessage) json.RawMessage {
	if len(a) == 0 {
		return json.RawMessage("null")
	}
	return a
}

// newMessages returns the sent messages that are not in the history. A caller may send
// the whole conversation, as stock clients do, or only its new messages.
func newMessages(history, sent []json.RawMessage) []json.RawMessage {
	if len(history) == 0 || len(sent) < len(history) {
		return sent
	}
	for i, m := range history {
		if !equalMessages(m, sent[i]) {
			return sent
		}
	}
	return sent[len(history):]
}

func assistantMessage(content []byte) json.RawMessage {
	data, _ := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", string(content)})
	return data
}

func messageBytes(messages []json.RawMessage) int {
	n := 0
	for _, m := range messages {
		n += len(m)
	}
	return n
}
