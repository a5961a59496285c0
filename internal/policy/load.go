package policy

// Load is the load that a leaf reports about itself.
type Load struct {
	Running  int     // requests being processed
	Waiting  int     // requests in its queue
	Slots    int     // requests it processes at once
	Slowdown float64 // current processing time as a multiple of the usual one; 0: not stated
}
