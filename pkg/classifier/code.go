package classifier

import (
	"net/http"
	"slices"
)

// Code is a numeric error code. docs/ERRORS.md lists all codes.
type Code int

// The error codes by cause: 1xxx the request, 2xxx a limit, 3xxx the system, 4xxx the target,
// 5xxx a configuration change.
const (
	BadRequest       Code = 1001
	BadKey           Code = 1002
	NoSuchProgram    Code = 1003
	NoSuchTarget     Code = 1004
	ProgramEnded     Code = 1005
	CallReused       Code = 1006
	CallOutOfOrder   Code = 1007
	TooLarge         Code = 1008
	ProgramExists    Code = 1009
	NoSuchCall       Code = 1010
	NotAllowed       Code = 1011
	NoSuchTurn       Code = 1012
	NoSuchRoute      Code = 1013
	HeaderTooLarge   Code = 1014
	BudgetExhausted  Code = 2001
	ShareExhausted   Code = 2002
	Overloaded       Code = 2003
	TooManyTurns     Code = 2004
	TooManyWaiting   Code = 2005
	TooDeep          Code = 2006
	StoreAway        Code = 3001
	OwnerAway        Code = 3002
	Stopping         Code = 3003
	Doubt            Code = 3004
	TicketExpired    Code = 3005
	ConfigUnsure     Code = 3006
	Internal         Code = 3007
	TargetAway       Code = 4001
	TargetRefused    Code = 4002
	TargetBroken     Code = 4003
	TargetTimeout    Code = 4004
	OutcomeUnknown   Code = 4005
	CrashesTarget    Code = 4006
	CannotResume     Code = 4007
	ConfigConflict   Code = 5001
	ConfigInvalid    Code = 5002
	ConfigNotInForce Code = 5003
)

// codeInfo describes one code. docs/ERRORS.md lists the same values.
type codeInfo struct {
	name        string
	status      int
	description string
}

var codeTable = map[Code]codeInfo{
	BadRequest:       {"bad-request", http.StatusBadRequest, "The request is malformed; the message names the field."},
	BadKey:           {"bad-key", http.StatusUnauthorized, "The bearer key belongs to no client account."},
	NoSuchProgram:    {"no-such-program", http.StatusNotFound, "The account has no program of that id."},
	NoSuchTarget:     {"no-such-target", http.StatusNotFound, "No target of that name is declared for the account."},
	ProgramEnded:     {"program-ended", http.StatusConflict, "The program has ended and takes no more calls."},
	CallReused:       {"call-reused", http.StatusUnprocessableEntity, "The call number or idempotency key was used for another request."},
	CallOutOfOrder:   {"call-out-of-order", http.StatusConflict, "An earlier call of the program has not arrived."},
	TooLarge:         {"too-large", http.StatusRequestEntityTooLarge, "The request is larger than the limit named in the message."},
	ProgramExists:    {"program-exists", http.StatusConflict, "The program exists with other settings."},
	NoSuchCall:       {"no-such-call", http.StatusNotFound, "The program has no call of that number."},
	NotAllowed:       {"not-allowed", http.StatusForbidden, "The account may not reach that target."},
	NoSuchTurn:       {"no-such-turn", http.StatusNotFound, "The turn that the request continues is not kept."},
	NoSuchRoute:      {"no-such-route", http.StatusNotFound, "No route is declared for the host and the path."},
	HeaderTooLarge:   {"header-too-large", http.StatusRequestHeaderFieldsTooLarge, "The header is larger than the limit named in the message."},
	BudgetExhausted:  {"budget-exhausted", http.StatusPaymentRequired, "The rest of the program's budget does not cover the call."},
	ShareExhausted:   {"share-exhausted", http.StatusTooManyRequests, "The account uses its whole share."},
	Overloaded:       {"overloaded", http.StatusServiceUnavailable, "The call cannot start before its deadline."},
	TooManyTurns:     {"too-many-turns", http.StatusForbidden, "The program has reached its limit of calls."},
	TooManyWaiting:   {"too-many-waiting", http.StatusTooManyRequests, "Too many calls of the program wait for their turn."},
	TooDeep:          {"too-deep", http.StatusForbidden, "The program tree has reached its depth limit."},
	StoreAway:        {"store-away", http.StatusServiceUnavailable, "The platform's store does not answer and the call needs it."},
	OwnerAway:        {"owner-away", http.StatusServiceUnavailable, "The owner of the program or of the account's limit is being replaced."},
	Stopping:         {"stopping", http.StatusServiceUnavailable, "The daemon is stopping; another one takes the request."},
	Doubt:            {"doubt", http.StatusServiceUnavailable, "The result could not be recorded for certain; repeat the request with the same key."},
	TicketExpired:    {"ticket-expired", http.StatusServiceUnavailable, "The call's ticket expired before dispatch."},
	ConfigUnsure:     {"config-unsure", http.StatusServiceUnavailable, "The daemon cannot confirm the configuration in force."},
	Internal:         {"internal", http.StatusInternalServerError, "The system failed in a way that it does not expect."},
	TargetAway:       {"target-away", http.StatusServiceUnavailable, "No target for the call can be reached."},
	TargetRefused:    {"target-refused", http.StatusBadGateway, "The target refused the call."},
	TargetBroken:     {"target-broken", http.StatusBadGateway, "The target's answer was cut or malformed."},
	TargetTimeout:    {"target-timeout", http.StatusGatewayTimeout, "The target did not answer in time."},
	OutcomeUnknown:   {"outcome-unknown", http.StatusGatewayTimeout, "The call may have run; it is not run again. Ask for the call later."},
	CrashesTarget:    {"crashes-target", http.StatusBadGateway, "Replicas ended while they ran the same request before; it is not sent again."},
	CannotResume:     {"cannot-resume", http.StatusServiceUnavailable, "The stream can't be resumed where it began; begin the request anew."},
	ConfigConflict:   {"config-conflict", http.StatusConflict, "Another operator's change was accepted first."},
	ConfigInvalid:    {"config-invalid", http.StatusUnprocessableEntity, "The declarations are invalid; each fault is listed."},
	ConfigNotInForce: {"config-not-in-force", http.StatusGatewayTimeout, "The change is accepted, but some daemons lag."},
}

// String returns the code's name in kebab case.
func (c Code) String() string {
	if e, ok := codeTable[c]; ok {
		return e.name
	}
	return "unlisted"
}

// Status returns the HTTP status of responses with the code.
func (c Code) Status() int {
	if e, ok := codeTable[c]; ok {
		return e.status
	}
	return http.StatusInternalServerError
}

// OfTarget reports whether the target is at fault.
func (c Code) OfTarget() bool { return c/1000 == 4 }

// Text returns the code's description as listed in docs/ERRORS.md.
func (c Code) Text() string { return codeTable[c].description }

// Codes returns all listed codes in ascending order.
func Codes() []Code {
	codes := make([]Code, 0, len(codeTable))
	for c := range codeTable {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	return codes
}
