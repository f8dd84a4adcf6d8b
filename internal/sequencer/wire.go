package sequencer

import (
	"encoding/json"
	"time"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// ServiceName is the name of the program owner's RPC service.
const ServiceName = "Sequencer"

// Kind is the kind of a call.
type Kind string

const (
	// ModelCall asks a model engine for an answer to the program's history.
	ModelCall Kind = "model"
	// ServiceCall sends a body to a plain service.
	ServiceCall Kind = "service"
)

// BeginRequest asks for a call's turn.
type BeginRequest struct {
	Name Name
	// Number is the call's number from 1, or zero for the next one.
	Number int
	// Key is the idempotency key, if any.
	Key    string
	Kind   Kind
	Target string
	// Repeatable says that the call may be dispatched more than once.
	Repeatable bool
	// Hash identifies the request's content.
	Hash string
	// Messages are the new or all messages of a model call.
	Messages []json.RawMessage
	// MaxTokens bounds the answer of a model call.
	MaxTokens int
	// Attempt identifies the entry's attempt, so that Begin can be repeated.
	Attempt string
}

// BeginReply grants a ticket, replays a recorded outcome, or says why not.
type BeginReply struct {
	Fault *classifier.Fault
	// Moved says that this daemon does not own the program.
	Moved bool
	// Waiting says that earlier calls are under way; ask again.
	Waiting bool
	Replay  *Outcome
	Ticket  Ticket
	// Prompt is the whole history with the new messages.
	Prompt []json.RawMessage
	// MaxTokens is the bound after clamping to the budget.
	MaxTokens int
	// Attained is the service that the whole program has had, in tokens.
	Attained int
	// HistoryTokens is the size of the history that may be cached.
	HistoryTokens int
	// LastTarget is the replica that served the program last.
	LastTarget string
}

// Ticket allows one dispatch within its lifetime, counted from before Begin was sent.
type Ticket struct {
	Name     Name
	Number   int
	Attempt  string
	Kind     Kind
	Hash     string
	Key      string
	Messages []json.RawMessage
	Reserved int
	Lifetime time.Duration
}

// Usage is what a model call used.
type Usage struct {
	Prompt     int `json:"prompt"`
	Completion int `json:"completion"`
	Cached     int `json:"cached"`
}

// Outcome is the result of a call as recorded.
type Outcome struct {
	Number      int               `json:"number"`
	Ran         classifier.Ran    `json:"ran"`
	Status      int               `json:"status,omitempty"`
	ContentType string            `json:"content-type,omitempty"`
	Content     []byte            `json:"content,omitempty"`
	Finish      string            `json:"finish,omitempty"`
	Usage       Usage             `json:"usage"`
	Fault       *classifier.Fault `json:"fault,omitempty"`
	Target      string            `json:"target,omitempty"`
}

// FinishRequest records or withdraws a call; an outcome that did not run withdraws it.
type FinishRequest struct {
	Ticket  Ticket
	Outcome Outcome
}

// FinishReply says whether the outcome is recorded.
type FinishReply struct {
	Fault *classifier.Fault
	Moved bool
}

// RenewRequest keeps tickets alive while their calls are under way.
type RenewRequest struct {
	Name    Name
	Attempt string
	Target  string
}

// RenewReply says whether the ticket still lives.
type RenewReply struct {
	Alive bool
	Moved bool
}

// CreateRequest creates a program; it can be repeated.
type CreateRequest struct {
	Name   Name
	Budget int
}

// View is what a caller may read of a program.
type View struct {
	ID       string            `json:"id"`
	Parent   string            `json:"parent,omitempty"`
	State    string            `json:"state"`
	Budget   int               `json:"budget"`
	Spent    int               `json:"spent"`
	Reserved int               `json:"reserved"`
	Calls    int               `json:"calls"`
	Chain    string            `json:"chain"`
	Messages []json.RawMessage `json:"messages,omitempty"`
}

// ViewReply answers Create, Read and End.
type ViewReply struct {
	Fault *classifier.Fault
	Moved bool
	View  View
}

// ReadRequest reads a program, with its history if wanted.
type ReadRequest struct {
	Name    Name
	History bool
}

// LookupRequest asks for the outcome of an earlier call.
type LookupRequest struct {
	Name   Name
	Number int
}

// LookupReply carries the outcome of an earlier call.
type LookupReply struct {
	Fault   *classifier.Fault
	Moved   bool
	Outcome Outcome
}

// GoneRequest asks which programs no longer need engine memory.
type GoneRequest struct {
	Names []string
	// Idle is how long a program may pause before its memory is given up, zero for ever.
	Idle time.Duration
}

// GoneReply lists the programs of the request that are gone for certain.
type GoneReply struct{ Gone []string }
