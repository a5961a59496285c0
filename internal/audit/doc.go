// Package audit keeps the trail of changes on disk: who changed what, when and
// why, and when it was in force everywhere. It holds what the control group's
// log and snapshots no longer do, for as long as the data folder lasts.
package audit
