package leaser

import (
	"encoding/json"

	"github.com/pkg/errors"
)

const memberPrefix = "member/"

// State says whether a member acquires partitions or hands them over.
type State string

const (
	// Live members acquire partitions.
	Live State = "live"
	// Leaving members hand over their partitions.
	Leaving State = "leaving"
)

// Member is a daemon's row in the table service.
type Member struct {
	// Session identifies one run of the daemon's process.
	Session string `json:"session"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Counter is increased by each renewal. After a renewal that returned an error, it
	// shows whether the row was written.
	Counter uint64 `json:"counter"`
	State   State  `json:"state"`
	// Config is the configuration version in force at the daemon.
	Config uint64 `json:"config"`
}

// MemberKey returns the row key of a session.
func MemberKey(session string) string { return memberPrefix + session }

// ParseMember checks and decodes a member row.
func ParseMember(data []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "member row")
	}
	if m.Session == "" || m.Address == "" {
		return m, errors.New("member row: session or address is missing")
	}
	if m.State != Live && m.State != Leaving {
		return m, errors.Errorf("member row: state %q is neither live nor leaving", m.State)
	}
	return m, nil
}
