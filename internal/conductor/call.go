package conductor

import (
	"encoding/json"
	"time"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/sequencer"
)

// Call is a caller's validated request.
type Call struct {
	Account declarer.Account
	// Program is the id of the program; it is empty for a call outside any program.
	Program string
	// Number is the call's number in its program; zero means the next one.
	Number int
	// Key is the idempotency key, if any.
	Key    string
	Target declarer.Target
	// Messages and MaxTokens are set for model calls.
	Messages  []json.RawMessage
	MaxTokens int
	// ContentType and Body are set for service calls.
	ContentType string
	Body        []byte
	// Hash identifies the content of the request.
	Hash string
	// MaxWait is the maximum time that the caller waits for the start of the call. It can
	// only lower the limit of the policy; zero means that limit.
	MaxWait time.Duration
	// Sink receives the text of a model call as it arrives; it may be nil.
	Sink func(text string)
}

func (c *Call) name() sequencer.Name {
	return sequencer.Name{Account: c.Account.Name, ID: c.Program}
}

func (c *Call) kind() sequencer.Kind {
	if c.Target.Kind == declarer.Engine {
		return sequencer.ModelCall
	}
	return sequencer.ServiceCall
}

// repeatable reports whether the call may be dispatched more than once.
func (c *Call) repeatable() bool {
	return c.Target.Kind == declarer.Engine || c.Target.Repeatable
}
