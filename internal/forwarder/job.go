package forwarder

import (
	"time"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/prioritizer"
	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/rationer"
	"pimentorail.example/pimentorail/internal/scoper"
	"pimentorail.example/pimentorail/internal/selector"
)

// job is the state of one request in progress.
type job struct {
	request *Request
	route   *cataloger.Route
	service *cataloger.Service
	version uint64
	// account is the account for which the request runs, nil for none, and scope that of the ids
	// that the client chose.
	account *cataloger.Account
	scope   scoper.Scope
	// hasAccounts reports whether the configuration names accounts.
	hasAccounts bool
	turn        *turn
	// credit is that of the account for the next attempt that a replica may run, if there is one.
	credit rationer.Credit
	// mark identifies what the client sent.
	mark isolator.Mark
	// originVersion is the version to which the request is restricted because it resumes a
	// stream that began there, empty for any.
	originVersion string
	// recordVersion is the version of the store at which that stream's origin was recorded.
	recordVersion uint64
	// deadline is the earlier of the client's and the route's deadline.
	deadline time.Time
	work     ranker.Work
	tried    map[string]bool
	// possibleRuns is the number of replicas that may have run the request.
	possibleRuns int
	attempts     int
	// heldFor is how long the request has waited until it is known whether a replica that
	// broke it off has ended.
	heldFor time.Duration
	// busy is the error of the last choice if no replica takes the request, or nil.
	busy *selector.BusyError
	// via and tunnel name the peer and the tunnel through which the last attempt was sent,
	// empty for a direct connection.
	via, tunnel string
	// keepToEnd lets the response go on until the daemon ends.
	keepToEnd func() bool
	// responseStarted is set once a part of the response has been sent to the client.
	responseStarted bool
	// openedAfter and firstAfter are the times from the request's arrival until the turn
	// was open and until the first part of the response arrived.
	openedAfter, firstAfter time.Duration
	cause                   error
}

// urgency returns the request's urgency at its replica, or noUrgency if its program's
// finish time is not known or its replicas have no order by urgency.
func (j *job) urgency() int {
	if j.request.FinishWithin == 0 || !j.service.Model {
		return noUrgency
	}
	return int(prioritizer.Of(j.request.FinishWithin - time.Since(j.request.Arrived)))
}

// priority returns the request's rank, where 0 is the highest. That of its account takes
// precedence over that of its route.
func (j *job) priority() int {
	if p, ok := j.account.Priority(); ok {
		return p
	}
	return j.route.Priority
}
