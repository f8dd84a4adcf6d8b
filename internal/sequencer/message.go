package sequencer

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// message holds the fields by which two messages are compared.
type message struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
}

// CheckMessage returns an error if a message has no role.
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

func same(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var x, y message
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return x.Role == y.Role && x.ToolCallID == y.ToolCallID &&
		sameJSON(x.Content, y.Content) && sameJSON(x.ToolCalls, y.ToolCalls)
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, orNull(a)) != nil || json.Compact(&y, orNull(b)) != nil {
		return false
	}
	if bytes.Equal(x.Bytes(), y.Bytes()) {
		return true
	}
	var s, t string
	return json.Unmarshal(a, &s) == nil && json.Unmarshal(b, &t) == nil && s == t
}

func orNull(a json.RawMessage) json.RawMessage {
	if len(a) == 0 {
		return json.RawMessage("null")
	}
	return a
}

// fresh returns the messages that the history does not hold yet: a caller may
// send the whole conversation, as stock clients do, or its new messages only.
func fresh(history, sent []json.RawMessage) []json.RawMessage {
	if len(history) == 0 || len(sent) < len(history) {
		return sent
	}
	for i, m := range history {
		if !same(m, sent[i]) {
			return sent
		}
	}
	return sent[len(history):]
}

func assistant(content []byte) json.RawMessage {
	data, _ := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", string(content)})
	return data
}

func size(messages []json.RawMessage) int {
	n := 0
	for _, m := range messages {
		n += len(m)
	}
	return n
}
