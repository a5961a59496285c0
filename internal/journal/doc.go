// Package journal stores the durable state of a control VM in a data folder: the
// hard state and log of the control group, the snapshot that replaces the start of
// the log, and the identity of the disk.
//
// Every record is a frame with its length, a sequence number and a CRC32C, and is
// durable once synced. Each frame is synced before the next is written, so a crash
// can damage only the last frame: a damaged tail is truncated, and damage anywhere
// else is a CorruptError. After a failed sync the content of the disk is unknown and
// every later write returns a SyncError; the process must end. If the disk is full, a
// call returns ErrFull and may be retried.
package journal
