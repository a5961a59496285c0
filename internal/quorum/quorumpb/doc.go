// Package quorumpb holds the generated types that the control group stores and
// exchanges: log entries, snapshots, hard state and messages.
package quorumpb
