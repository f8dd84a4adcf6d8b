package runner

import (
	_ "embed" // The schema is part of the program.
	"slices"
	"time"

	"pimentorail.example/pimentorail/internal/validator"
)

//go:embed settings.json
var settingsSchema []byte

var settingsCheck = validator.Must("settings.json", settingsSchema)

const (
	defaultPartitions = 64
	defaultInterval   = 25
	defaultStopLimit  = 60_000
)

// Settings are a daemon's settings file.
type Settings struct {
	// HTTP is the address for callers, RPC the address for other daemons; both are host:port.
	HTTP string `json:"http-address"`
	RPC  string `json:"rpc-address"`
	Zone string `json:"zone"`
	// Platform is the address of the platform's service.
	Platform string `json:"platform-address"`
	// Secret is known to all daemons of a deployment.
	Secret string `json:"secret"`
	// Partitions is the number of partitions, the same on all daemons of a deployment.
	Partitions int `json:"partitions"`
	// JournalIntervalMS is the least time between two batches, in milliseconds.
	JournalIntervalMS int `json:"journal-interval-ms"`
	// StopLimitMS bounds a planned stop, in milliseconds.
	StopLimitMS int    `json:"stop-limit-ms"`
	Policies    Policy `json:"policies"`
}

// Policy chooses between the ways to decide; empty values take the best known.
type Policy struct {
	// Order is fair-least-attained, fair-arrival or arrival.
	Order string `json:"order"`
	// Routing is affine or spread.
	Routing string `json:"routing"`
	// FixedWindow makes windows keep their first size.
	FixedWindow bool `json:"fixed-window"`
	// NoAdmission makes every call wait, however long the queue.
	NoAdmission bool `json:"no-admission"`
}

// SettingsSchema returns the published schema of settings.
func SettingsSchema() []byte { return slices.Clone(settingsSchema) }

// ParseSettings checks and decodes settings; a failed check returns validator.Faults.
func ParseSettings(data []byte) (*Settings, error) {
	s := Settings{Partitions: defaultPartitions, JournalIntervalMS: defaultInterval, StopLimitMS: defaultStopLimit}
	if err := settingsCheck.Decode(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) journalInterval() time.Duration {
	return time.Duration(s.JournalIntervalMS) * time.Millisecond
}

func (s *Settings) stopLimit() time.Duration {
	return time.Duration(s.StopLimitMS) * time.Millisecond
}
