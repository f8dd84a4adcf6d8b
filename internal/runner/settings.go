package runner

import (
	_ "embed" // Embeds settings.json.
	"slices"
	"time"

	"pimentorail.example/pimentorail/internal/validator"
)

//go:embed settings.json
var settingsSchema []byte

var settingsValidator = validator.Must("settings.json", settingsSchema)

const (
	defaultPartitions  = 64
	defaultIntervalMS  = 25
	defaultStopLimitMS = 60_000
	defaultMemoryMB    = 256
)

// Settings is the decoded settings file of a daemon.
type Settings struct {
	// HTTP is the address for callers, RPC the address for other daemons; both are host:port.
	HTTP string `json:"http-address"`
	RPC  string `json:"rpc-address"`
	Zone string `json:"zone"`
	// Platform is the address of the reference platform, which storer.Client calls.
	Platform string `json:"platform-address"`
	// Secret authenticates the daemons of a deployment to each other.
	Secret string `json:"secret"`
	// Partitions is the number of partitions of programs, replicas and accounts, the units
	// of ownership, the same on all daemons of a deployment.
	Partitions int `json:"partitions"`
	// JournalIntervalMS is the minimum time between two batches, in milliseconds.
	JournalIntervalMS int `json:"journal-interval-ms"`
	// StopLimitMS is the maximum duration of a planned stop, in milliseconds.
	StopLimitMS int `json:"stop-limit-ms"`
	// MemoryMB is the memory of the VM in MiB. It bounds what callers may take before their requests are
	// known.
	MemoryMB int            `json:"memory-mb"`
	Policies PolicySettings `json:"policies"`
}

// PolicySettings select the policies for the order of calls, routing, windows and
// admission. Empty values select the order fair-least-attained, affine routing, adaptive
// windows and admission control.
type PolicySettings struct {
	// Order is fair-least-attained, fair-arrival or arrival.
	Order string `json:"order"`
	// Routing is affine or spread.
	Routing string `json:"routing"`
	// FixedWindow keeps windows at their initial size.
	FixedWindow bool `json:"fixed-window"`
	// NoAdmission disables admission control: calls wait however long the queue is.
	NoAdmission bool `json:"no-admission"`
}

// SettingsSchema returns the published schema of settings.
func SettingsSchema() []byte { return slices.Clone(settingsSchema) }

// ParseSettings checks and decodes settings. If the check fails, the error is a
// validator.Faults.
func ParseSettings(data []byte) (*Settings, error) {
	s := Settings{Partitions: defaultPartitions, JournalIntervalMS: defaultIntervalMS, StopLimitMS: defaultStopLimitMS, MemoryMB: defaultMemoryMB}
	if err := settingsValidator.Decode(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) journalInterval() time.Duration {
	return time.Duration(s.JournalIntervalMS) * time.Millisecond
}

// memoryBytes returns the memory of the VM in bytes; also for settings that were not parsed.
func (s *Settings) memoryBytes() int64 {
	if s.MemoryMB == 0 {
		return defaultMemoryMB << 20
	}
	return int64(s.MemoryMB) << 20
}

func (s *Settings) stopLimit() time.Duration {
	return time.Duration(s.StopLimitMS) * time.Millisecond
}
