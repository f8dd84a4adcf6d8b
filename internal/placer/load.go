package placer

// Load is what a replica tells of itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes there now; 1 is as usual.
	Slowness float64
}
