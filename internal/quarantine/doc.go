// Package quarantine keeps requests that crash the leaves that run them (queries of
// death) away from leaves.
//
// A request is known by its Fingerprint, which all its attempts share, at whatever daemon
// they arrive.
package quarantine
