// Package quarantine keeps requests that crash the leaves that run them (queries of
// death) away from leaves.
//
// A request is known by its Fingerprints, which all its attempts share, at whatever daemon
// they arrive. Daemons report attempts under which leaves ended to the leader of the control
// group, whose Ledger joins them to the Cases; these stand in the settings tree, and come to
// the Registry of every daemon with it. A suspected request is tried at one leaf at a time.
// It is cleared by an answer of any leaf, and blocked if leaves go on to end under it.
package quarantine
