package sequencer

import (
	"encoding/json"
	"time"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// ServiceName is the name of the program owner's RPC service.
const ServiceName = "Sequencer"

// Kind distinguishes model calls from service calls.
type Kind string

const (
	// ModelCall asks a model engine to continue the program's history.
	ModelCall Kind = "model"
	// ServiceCall sends a body to a plain service.
	ServiceCall Kind = "service"
)

// BeginRequest asks for a ticket for a call.
type BeginRequest struct {
	Name Name
	// Number is the call's number, counted from 1; zero means the next one.
	Number int
	// Key is the idempotency key, if any.
	Key  string
	Kind Kind
	// Target is the target's name.
	Target string
	// Repeatable is set if the call may be dispatched more than once.
	Repeatable bool
	// Hash identifies the request's content.
	Hash string
	// Messages holds the new messages of a model call or its whole conversation.
	Messages []json.RawMessage
	// MaxTokens bounds the completion of a model call.
	MaxTokens int
	// Attempt identifies the attempt of the entry daemon and makes Begin idempotent.
	Attempt string
}

// BeginReply grants a ticket, replays a recorded outcome, or says why neither is possible.
type BeginReply struct {
	Fault *classifier.Fault
	// Moved is set if this daemon does not own the program.
	Moved bool
	// Waiting is set if earlier calls are in flight and Begin should be repeated.
	Waiting bool
	Replay  *Outcome
	Ticket  Ticket
	// Prompt is the whole history followed by the new messages.
	Prompt []json.RawMessage
	// MaxTokens is the bound on the completion after clamping to the budget.
	MaxTokens int
	// Attained is the service in tokens that the program has received so far.
	Attained int
	// HistoryTokens is the size of the history that an engine may have cached.
	HistoryTokens int
	// LastTarget is the replica that last served the program.
	LastTarget string
}

// Ticket permits one dispatch within its lifetime. The entry daemon counts the lifetime
// from before it sent Begin.
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

// Usage is the number of tokens that a model call used.
type Usage struct {
	Prompt     int `json:"prompt"`
	Completion int `json:"completion"`
	Cached     int `json:"cached"`
}

// Outcome is the recorded result of a call.
type Outcome struct {
	Number      int               `json:"number"`
	Ran         classifier.Ran    `json:"ran"`
	Status      int               `json:"status,omitempty"`
	ContentType string            `json:"content-type,omitempty"`
	Content     []byte            `json:"content,omitempty"`
	Finish      string            `json:"finish,omitempty"`
	Usage       Usage             `json:"usage"`
	Fault       *classifier.Fault `json:"fault,omitempty"`
	// Target is the replica that served the call. If that is not known, it is the target's
	// name or empty.
	Target string `json:"target,omitempty"`
}

// FinishRequest records a call's outcome; an outcome that did not run withdraws the call.
type FinishRequest struct {
	Ticket  Ticket
	Outcome Outcome
}

// FinishReply reports whether the outcome is recorded.
type FinishReply struct {
	Fault *classifier.Fault
	Moved bool
}

// RenewRequest extends the lifetime of an in-flight call's ticket.
type RenewRequest struct {
	Name    Name
	Attempt string
	// Target is the replica that serves the call, empty if it is not known yet.
	Target string
}

// RenewReply reports whether the ticket is still valid.
type RenewReply struct {
	Alive bool
	Moved bool
}

// CreateRequest creates a program; it is idempotent.
type CreateRequest struct {
	Name   Name
	Budget int
}

// View is the state of a program that callers can read.
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

// ReadRequest asks for a program's state and, if History is set, its messages.
type ReadRequest struct {
	Name    Name
	History bool
}

// LookupRequest asks for the recorded outcome of a call.
type LookupRequest struct {
	Name   Name
	Number int
}

// LookupReply carries the recorded outcome of a call.
type LookupReply struct {
	Fault   *classifier.Fault
	Moved   bool
	Outcome Outcome
}

// GoneRequest asks which programs no longer need memory in the engines.
type GoneRequest struct {
	Names []string
	// Idle is the idle time after which a program's memory may be released; zero means never.
	Idle time.Duration
}

// GoneReply lists the programs of the request that certainly need no engine memory.
type GoneReply struct{ Gone []string }
