package declarer

// Kind says whether a target is a model engine or a plain service.
type Kind string

const (
	// Engine targets are model engines.
	Engine Kind = "engine"
	// Service targets are plain services.
	Service Kind = "service"
)

// OutagePolicy says how calls are handled while the declarations in force cannot be
// confirmed to be current, as in an outage of the store. A daemon without any declarations
// refuses all calls under either policy.
type OutagePolicy string

const (
	// ContinueStateless lets all calls proceed. Calls of a program are still refused while
	// their records cannot be written, so those outside any program continue.
	ContinueStateless OutagePolicy = "go-on"
	// RefuseAll refuses all calls.
	RefuseAll OutagePolicy = "refuse"
)

// Declarations is the complete declared configuration of a deployment.
type Declarations struct {
	Accounts []Account `json:"accounts"`
	Targets  []Target  `json:"targets"`
	Policy   Policy    `json:"policy"`
}

// Account is a client account with its key, limits and permitted targets.
type Account struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the bearer key, in hexadecimal.
	KeyHash string `json:"key-sha256"`
	// Weight is the account's share relative to the other accounts.
	Weight int `json:"weight"`
	// InFlight limits the account's calls in flight, summed over all daemons.
	InFlight int `json:"in-flight"`
	// Targets names the targets that the account may call.
	Targets []string `json:"targets"`
	// ProgramBudget limits the budget of one program, in tokens.
	ProgramBudget int `json:"program-budget"`
}

// Target is a model engine or plain service with its replicas.
type Target struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Repeatable says that a service call may be dispatched more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// TimeoutMS is the timeout of a service call, in milliseconds.
	TimeoutMS int `json:"timeout-ms,omitempty"`
	// NotRunStatuses are the HTTP statuses which mean that a call had no effect.
	NotRunStatuses []int `json:"not-run-statuses,omitempty"`
	// HonoursFence says that the engines refuse orders with an old fencing number.
	HonoursFence bool `json:"honours-fence,omitempty"`
	// Window is the initial number of concurrent calls to a replica, WindowLimit the
	// maximum.
	Window      int       `json:"window"`
	WindowLimit int       `json:"window-limit"`
	Replicas    []Replica `json:"replicas"`
}

// Replica is one back end of a target.
type Replica struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Draining replicas get no new work.
	Draining bool `json:"draining,omitempty"`
	// Role is the declared role of an engine. If empty, the engine keeps its own.
	Role string `json:"role,omitempty"`
	// Loads names the models, adapters and versions that an engine should have loaded.
	Loads []string `json:"loads,omitempty"`
}

// Policy holds the settings that all accounts share.
type Policy struct {
	StoreOutage OutagePolicy `json:"store-outage"`
	// QueueLimitMS is the maximum time that a call of a program waits in the queue of a
	// replica, except for the program's first call, in milliseconds.
	QueueLimitMS int `json:"queue-limit-ms"`
	// NewProgramLimitMS is the maximum time that a program's first call, or a call outside
	// any program, waits in the queue of a replica, in milliseconds. It is also the maximum
	// time that any call waits for a unit of its account's in-flight limit.
	NewProgramLimitMS int `json:"new-program-limit-ms"`
	// MaxTokens is the default limit of the answer of a model call, in tokens.
	MaxTokens int `json:"max-tokens"`
	// HoldIdleMS is the time for which an engine holds memory for an idle program, in
	// milliseconds.
	HoldIdleMS int `json:"hold-idle-ms"`
}

// ReplicaID returns the id of a target's replica, unique in the deployment.
func ReplicaID(target, replica string) string { return target + "/" + replica }
