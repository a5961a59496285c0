package policy

// PeerReport is the result of another daemon's probe of the daemons that do not answer here.
type Witness struct {
	Unanswered []string // addresses that did not answer that daemon either
}

// LostDaemons returns the daemons of unanswered that are lost: those that answer none of the
// reporting peers. Without any report none counts as lost, since this daemon itself may be
// the one that is cut off.
func Lost(unanswered []string, witnesses []Witness) []string {
	if len(witnesses) == 0 {
		return nil
	}
	missed := make(map[string]int)
	for _, w := range witnesses {
		for _, addr := range w.Unanswered {
			missed[addr]++
		}
	}
	var lost []string
	for _, addr := range unanswered {
		if missed[addr] == len(witnesses) {
			lost = append(lost, addr)
		}
	}
	return lost
}
