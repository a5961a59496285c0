// Package audit stores the audit trail of configuration changes on disk: who changed
// what, when and why, and when the change was in force on all daemons. It keeps
// records that the control group's log and snapshots have already dropped.
package audit
