package limiter

// ServiceName is the name of the account owner's RPC service.
const ServiceName = "Limiter"

// AskRequest asks for a slice of an account's limit.
type AskRequest struct {
	Account string
	Holder  string
	Want    int
	Held    int
}

// AskReply grants a slice.
type AskReply struct {
	Moved  bool
	Amount int
}
