// Package quarantine keeps requests that crash the leaves that run them (queries of death)
// away from leaves.
//
// A request is identified by its Fingerprints, which are the same for all of its attempts at
// every daemon. Daemons report attempts during which leaves exited to the leader of the
// control group. The leader's Coordinator merges the reports into Cases, which are stored in
// the settings tree and distributed with it to the Registry of every daemon. A suspected
// request is tried at one leaf at a time. It is cleared when any leaf answers it, and
// blocked if leaves continue to exit.
package quarantine
