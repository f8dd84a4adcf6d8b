package forwarder

import (
	"net/http"
	"time"

	"pimentorail.example/pimentorail/internal/authenticator"
	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/ranker"
)

// Request is a client's request, decoded from the client protocol.
type Request struct {
	ID string
	// Caller identifies who sent the request, as far as the client protocol says, where the
	// configuration names no accounts.
	Caller string
	// Credential is the key that the client presents.
	Credential authenticator.Credential
	// Method, Target and Host are sent to the replica unchanged; Hostname, the normalized
	// host name, and Path select the route.
	Method, Target, Host, Hostname, Path string
	// Header is the header to forward to the replica.
	Header http.Header
	Body   []byte
	// Arrived is when the request was read, and Timeout the client's timeout from then
	// on, zero for none.
	Arrived time.Time
	Timeout time.Duration

	// Program, Session and FinishWithin describe the agent program: its id, the id of
	// its chain of turns, and the remaining time in which it should finish: zero if that is
	// not known, negative if the time has passed.
	Program, Session string
	FinishWithin     time.Duration
	// Budget is the number of tokens that the program may generate; it applies only if
	// Budgeted is set.
	Budget   int
	Budgeted bool
	// Parent is the id of the turn that the request continues.
	Parent string
	// Parts are the parts of the prompt, PromptTokens is its size, and MaxTokens limits
	// the number of generated tokens.
	Parts                   []ranker.Part
	PromptTokens, MaxTokens int
	// OutputHint is the client's estimate of the number of generated tokens, zero for none.
	OutputHint int
	// LastEventID is the id of the last event that the client has received.
	LastEventID string
	// Resumes is the id of the request that received the first event of the stream which
	// this request resumes.
	Resumes string
}

// mark returns the mark of what a caller sent.
func (q *Request) mark(caller string) isolator.Mark {
	return isolator.NewTurnMark(q.Parent, q.Body, caller, q.Method, q.Hostname, q.Target)
}
