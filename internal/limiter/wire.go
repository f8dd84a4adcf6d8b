package limiter

// ServiceName is the name of the RPC service of account owners.
const ServiceName = "Limiter"

// AskRequest asks for a slice of an account's limit: Want units, of which Holder has Held
// already.
type AskRequest struct {
	Account string
	Holder  string
	Want    int
	Held    int
}

// AskReply grants a slice of Amount units. Moved means that another daemon owns the account.
type AskReply struct {
	Moved  bool
	Amount int
}
