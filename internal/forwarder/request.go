package forwarder

import (
	"net/http"
	"time"

	"pimentorail.example/pimentorail/internal/placer"
)

// Request is one attempt of a client, with the names of its protocol decoded.
type Request struct {
	ID string
	// Method, Target and Host go to the replica byte for byte; Name and Path select the route.
	Method, Target, Host, Name, Path string
	// Header is what is passed on to the replica.
	Header http.Header
	Body   []byte
	// Arrived is when the request was read, and Patience how long the client
	// waits from then on, zero for no end.
	Arrived  time.Time
	Patience time.Duration

	// Program, Session and Finish describe the agent program: its id, the id of
	// its line of turns, and the time left until it should be finished.
	Program, Session string
	Finish           time.Duration
	// Budget is the tokens that the program may generate, if Budgeted.
	Budget   int
	Budgeted bool
	// Parent is the turn that the request continues.
	Parent string
	// Parts are the parts of the prompt, PromptTokens its size and MaxTokens the
	// most tokens that are generated.
	Parts                   []placer.Part
	PromptTokens, MaxTokens int
	// Hint is the client's estimate of the tokens generated, zero for none.
	Hint int
	// Resumed is the id of the last event that the client has.
	Resumed string
}
