package declarer

// Kind is the kind of a target.
type Kind string

const (
	// Engine targets are model engines.
	Engine Kind = "engine"
	// Service targets are plain services.
	Service Kind = "service"
)

// Outage says what stateless calls do while the configuration can't be confirmed.
type Outage string

const (
	// GoOn serves calls that need no record.
	GoOn Outage = "go-on"
	// Refuse refuses all calls.
	Refuse Outage = "refuse"
)

// Declarations are all that operators declare.
type Declarations struct {
	Accounts []Account `json:"accounts"`
	Targets  []Target  `json:"targets"`
	Policy   Policy    `json:"policy"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the bearer key, in hexadecimal.
	KeyHash string `json:"key-sha256"`
	// Weight is the account's share against the others.
	Weight int `json:"weight"`
	// InFlight bounds the account's calls under way over all daemons.
	InFlight int `json:"in-flight"`
	// Targets are the names of the targets that the account may reach.
	Targets []string `json:"targets"`
	// ProgramBudget bounds the budget of one program, in tokens.
	ProgramBudget int `json:"program-budget"`
}

// Target is a model engine or plain service with its replicas.
type Target struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Repeatable says that a service call may be dispatched more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// TimeoutMS bounds a service call, in milliseconds.
	TimeoutMS int `json:"timeout-ms,omitempty"`
	// NotRunStatuses are the HTTP statuses that say that a call had no effect.
	NotRunStatuses []int `json:"not-run-statuses,omitempty"`
	// HonoursFence says that the engines refuse orders with an old fencing number.
	HonoursFence bool `json:"honours-fence,omitempty"`
	// Window is how many calls a replica takes at first, WindowLimit at most.
	Window      int       `json:"window"`
	WindowLimit int       `json:"window-limit"`
	Replicas    []Replica `json:"replicas"`
}

// Replica is one back end of a target.
type Replica struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Draining replicas take no new work.
	Draining bool `json:"draining,omitempty"`
	// Role is the role that an engine should take, empty for its own.
	Role string `json:"role,omitempty"`
	// Loads are the models, adapters and versions that an engine should have loaded.
	Loads []string `json:"loads,omitempty"`
}

// Policy holds the limits that are common to all accounts.
type Policy struct {
	StoreOutage Outage `json:"store-outage"`
	// QueueLimitMS is the longest wait of a started program's call, in milliseconds.
	QueueLimitMS int `json:"queue-limit-ms"`
	// NewProgramLimitMS is the longest wait of a program's first call, in milliseconds.
	NewProgramLimitMS int `json:"new-program-limit-ms"`
	// MaxTokens is the answer bound of a model call that names none.
	MaxTokens int `json:"max-tokens"`
	// HoldIdleMS is how long engine memory is held for an idle program, in milliseconds.
	HoldIdleMS int `json:"hold-idle-ms"`
}

// ReplicaID returns the id of a target's replica in the whole deployment.
func ReplicaID(target, replica string) string { return target + "/" + replica }
