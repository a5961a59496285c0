package policy

// PeerReport is the result of another daemon's probe of the daemons that do not answer here.
type PeerReport struct {
	Unanswered []string // addresses that did not answer that daemon either
}

// LostDaemons returns the daemons of unanswered that are lost: those that answer none of the
// reporting peers. Without any report none counts as lost, since this daemon itself may be
// the one that is cut off.
func LostDaemons(unanswered []string, reports []PeerReport) []string {
	if len(reports) == 0 {
		return nil
	}
	unreachableFor := make(map[string]int)
	for _, w := range reports {
		for _, addr := range w.Unanswered {
			unreachableFor[addr]++
		}
	}
	var lost []string
	for _, addr := range unanswered {
		if unreachableFor[addr] == len(reports) {
			lost = append(lost, addr)
		}
	}
	return lost
}
