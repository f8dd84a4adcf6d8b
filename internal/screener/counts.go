package screener

// Counts are the counters of a Screener.
type Counts struct {
	// Refused is the number of heads that did not fit, and Evicted that of waiting connections that
	// were closed for others.
	Refused, Evicted int64
	// HeadBytes is the memory that heads take now, in bytes, and Open the number of connections.
	HeadBytes int64
	Open      int
}
