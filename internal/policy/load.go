package policy

// Load is what a leaf says of its own load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Pace    float64 // how long work takes there now, as a multiple of the usual; 0: not stated
}
