// Package session keeps requests that are not repeatable from running twice.
//
// A session names the run of a daemon that issued it. Only that run decides
// whether a key is new: it remembers in memory every key that may have run until
// no caller may send it any more. When the run has ended the memory is gone, and
// with it the right to run any key of its sessions; so a crash can leave a
// caller in doubt, but can't make a request run twice.
package session
