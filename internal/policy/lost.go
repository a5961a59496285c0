package policy

// Witness is what another daemon found when it tried to reach some that do not answer here.
type Witness struct {
	Unanswered []string // of those it was asked about
}

// Lost returns which of the daemons that do not answer here are lost: those that no other
// daemon reaches either. Without any witness none is known to be, since the daemon that
// asks may itself be the one that is cut off.
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
