package generator

// Answers are the answers of a questionnaire.
type Answers struct {
	Deployment  string    `json:"deployment"`
	Accounts    []Account `json:"accounts"`
	Programs    []Program `json:"programs"`
	Targets     []Target  `json:"targets"`
	Crest       Crest     `json:"crest"`
	StoreOutage string    `json:"store-outage"`
	MaxTokens   int       `json:"longest-answer-tokens,omitempty"`
	HoldIdleMS  int       `json:"keep-memory-over-pauses-ms,omitempty"`
}

// Account is the answer for one client account.
type Account struct {
	Name     string   `json:"name"`
	KeyHash  string   `json:"key-sha256"`
	Share    int      `json:"share,omitempty"`
	InFlight int      `json:"calls-at-once,omitempty"`
	Programs []string `json:"programs"`
}

// Program is the answer for one kind of agent program.
type Program struct {
	Name    string   `json:"name"`
	Reaches []string `json:"reaches"`
	Budget  int      `json:"token-budget"`
}

// Target is the answer for one target.
type Target struct {
	Name           string `json:"name"`
	IsA            string `json:"is-a"`
	Repeat         string `json:"may-a-call-be-repeated,omitempty"`
	AnswersWithin  int    `json:"answers-within-ms,omitempty"`
	NotRunStatuses []int  `json:"not-run-statuses,omitempty"`
	RefusesOld     string `json:"refuses-old-orders,omitempty"`
	// Loads are the models, adapters and versions that the engines should have loaded.
	Loads        []string `json:"loads,omitempty"`
	InFlight     int      `json:"calls-at-once,omitempty"`
	MostInFlight int      `json:"most-calls-at-once,omitempty"`
	Zones        []Zone   `json:"zones"`
}

// Zone is where some replicas of a target run.
type Zone struct {
	Zone string `json:"zone"`
	// Role is the role of the engines there, empty for their own.
	Role      string   `json:"role,omitempty"`
	Addresses []string `json:"addresses"`
}

// Crest is the answer on waiting.
type Crest struct {
	LongestWaitMS    int `json:"longest-wait-ms"`
	LongestWaitNewMS int `json:"longest-wait-of-new-programs-ms"`
}
