package domain

// Share returns the share of total (a leaf's slots or connections) of the home at
// homeIndex, out of the given number of homes. The shares of all homes sum to exactly
// total. leafIndex determines which homes receive the remainder, so that over many leaves
// no home is favoured; it may be any number that is constant while the leaf is declared.
func Share(total, homeCount, homeIndex, leafIndex int) int {
	if total <= 0 || homeIndex < 0 || homeIndex >= homeCount || leafIndex < 0 {
		return 0
	}
	share, remainder := total/homeCount, total%homeCount
	// The remainder goes to consecutive homes, starting at home leafIndex modulo homes.
	if (homeIndex+homeCount-leafIndex%homeCount)%homeCount < remainder {
		share++
	}
	return share
}
