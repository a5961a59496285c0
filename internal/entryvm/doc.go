// Package entryvm assembles the process of an entry VM: it serves callers' requests, tells
// callers which addresses to connect to, accepts configurations from operators and, on a
// VM with a disk, runs a member of the control group. All VMs of a tier run the same
// process; the configuration decides which of these roles a VM takes.
package entryvm
