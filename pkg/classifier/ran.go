package classifier

// Ran states whether a request took effect at its target. Recorded outcomes of successful
// calls carry RanYes too.
type Ran string

const (
	// RanNo means that the request did not and will not take effect.
	RanNo Ran = "no"
	// RanYes means that the request took effect once.
	RanYes Ran = "yes"
	// RanUnknown means that the request may have taken effect. The daemon that reports it
	// does not run the request again. With the code Doubt the caller may repeat the request
	// with the same key; with OutcomeUnknown the call must not be repeated, and the caller
	// looks up its outcome later.
	RanUnknown Ran = "unknown"
)
