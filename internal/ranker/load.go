package ranker

// Load is the load that a replica reports about itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is the current service time relative to the usual one, which is 1.
	Slowness float64
}
