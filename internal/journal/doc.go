// Package journal keeps the durable side of a control VM under one data folder:
// vote and log of the control group, the snapshot that replaces the log's
// beginning, and the identity of the disk.
//
// Everything written is framed with its length, a sequence number and a CRC32C,
// and counts only once synced. One sync covers one frame, so a crash can damage
// no frame but the last: a damaged end is cut off, damage anywhere else is a
// CorruptError. After a failed sync nothing is known about what the disk holds,
// and every later call returns a SyncError; the process has to end. A full disk
// is an ErrFull, after which the same call may be made again.
package journal
