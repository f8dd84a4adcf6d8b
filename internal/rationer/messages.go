package rationer

import (
	"time"

	"pimentorail.example/pimentorail/internal/ratelimiter"
)

// ServiceName is the name of the RPC service of the members.
const ServiceName = "Limits"

const (
	takeMethod     = ServiceName + ".Take"
	giveBackMethod = ServiceName + ".GiveBack"
	voteMethod     = ServiceName + ".Vote"
	releaseMethod  = ServiceName + ".Release"
	pingMethod     = ServiceName + ".Ping"
)

// TakeRequest asks a member for a credit of an account, which is named by its key on the ring.
type TakeRequest struct {
	Key         uint64
	Rate, Burst float64
	// Version is that of the configuration which has the limit.
	Version uint64
	// Relayed is set if another member asks for the daemon that needs the credit. Such a request goes no further.
	Relayed bool
}

// TakeReply answers a TakeRequest.
type TakeReply struct {
	Outcome ratelimiter.Outcome
	// Wait is when the client is to come back if there is no credit.
	Wait time.Duration
}

// GiveBackRequest returns a credit of an account whose request did not run.
type GiveBackRequest struct{ Key uint64 }

// Empty is a reply without content.
type Empty struct{}

func (q TakeRequest) request() ratelimiter.Request {
	return ratelimiter.Request{Key: q.Key, Limit: ratelimiter.NewLimit(q.Rate, q.Burst), Version: q.Version}
}
