package generator

// Answers holds the answers to the questionnaire. answers.json has the questions.
type Answers struct {
	Deployment string    `json:"deployment"`
	Accounts   []Account `json:"accounts"`
	Programs   []Program `json:"programs"`
	Targets    []Target  `json:"targets"`
	// The key crest is the questionnaire's name for the queueing limits; it is fixed.
	WaitLimits WaitLimits `json:"crest"`
	// StoreOutage is "go-on" or "refuse"; see declarer.OutagePolicy.
	StoreOutage string `json:"store-outage"`
	MaxTokens   int    `json:"longest-answer-tokens,omitempty"`
	HoldIdleMS  int    `json:"keep-memory-over-pauses-ms,omitempty"`
}

// Account describes one client account.
type Account struct {
	Name     string   `json:"name"`
	KeyHash  string   `json:"key-sha256"`
	Weight   int      `json:"share,omitempty"`
	InFlight int      `json:"calls-at-once,omitempty"`
	Programs []string `json:"programs"`
}

// Program describes one kind of agent program.
type Program struct {
	Name    string   `json:"name"`
	Targets []string `json:"reaches"`
	Budget  int      `json:"token-budget"`
}

// Target describes one model engine or plain service.
type Target struct {
	Name string `json:"name"`
	// Kind is "model-engine" or "service".
	Kind string `json:"is-a"`
	// Repeatable is "yes" or "no".
	Repeatable     string `json:"may-a-call-be-repeated,omitempty"`
	TimeoutMS      int    `json:"answers-within-ms,omitempty"`
	NotRunStatuses []int  `json:"not-run-statuses,omitempty"`
	// HonoursFence is "yes" or "no".
	HonoursFence string `json:"refuses-old-orders,omitempty"`
	// Loads names the models, adapters and versions that the engines should have loaded.
	Loads []string `json:"loads,omitempty"`
	// InFlight and MaxInFlight set Window and WindowLimit of declarer.Target.
	InFlight    int    `json:"calls-at-once,omitempty"`
	MaxInFlight int    `json:"most-calls-at-once,omitempty"`
	Zones       []Zone `json:"zones"`
}

// Zone lists the replicas of a target in one availability zone.
type Zone struct {
	Zone string `json:"zone"`
	// Role is the declared role of these engines. If empty, they keep their own.
	Role      string   `json:"role,omitempty"`
	Addresses []string `json:"addresses"`
}

// WaitLimits are the maximum queueing times of calls, after which they are refused.
type WaitLimits struct {
	MaxWaitMS           int `json:"longest-wait-ms"`
	MaxNewProgramWaitMS int `json:"longest-wait-of-new-programs-ms"`
}
