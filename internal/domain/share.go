package domain

// Share returns the part of total (a leaf's slots or connections) that the home
// at homeIndex of homes holds. The parts of all homes sum to exactly total; the
// remainder goes to other homes for each leafIndex, so that no home is favoured;
// any number that does not change while the leaf is declared serves as leafIndex.
func Share(total, homes, homeIndex, leafIndex int) int {
	if total <= 0 || homeIndex < 0 || homeIndex >= homes || leafIndex < 0 {
		return 0
	}
	part, rest := total/homes, total%homes
	// Leaf i hands its remainder to the homes that follow home i.
	if (homeIndex+homes-leafIndex%homes)%homes < rest {
		part++
	}
	return part
}
