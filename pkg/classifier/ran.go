package classifier

// Ran states whether a failed request took effect at its target.
type Ran string

const (
	// RanNo means that the request did not and will not take effect.
	RanNo Ran = "no"
	// RanYes means that the request took effect once.
	RanYes Ran = "yes"
	// RanUnknown means that the request may have taken effect; it is not run again.
	RanUnknown Ran = "unknown"
)
