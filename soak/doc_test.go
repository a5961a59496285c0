// Package soak runs the real programs as separate processes on loopback under random
// faults, and checks what callers and leaves see while it runs.
//
// A seed decides the order, places and times of the faults, which overlap; each run goes
// through every kind before any comes again: processes killed, paused, stopped gracefully
// and restarted; settings that change, with a signal and without; disks wiped, writes
// torn; links to VMs and leaves that delay, hold everything, hold what comes back, are
// narrow, or are reset, by a proxy before each of them; leaves that are slow, silent, reset, refuse,
// lose their answers, answer twice, leave or crash; a request that crashes each leaf that runs it; a list of leaves that fails;
// disks that are slow, stand still or are full, through a file system that only the soak's
// build has; connections reset several times in a row; all VMs with a disk lost together; operators that send configurations, again,
// invalid and long ones, to any VM. At the end
// a long one is sent and read back while the links of all control VMs are narrow.
//
// Not here: clocks that step, which nothing outside a process can feign without rights over
// the machine, and writes that a loss of power loses; internal/control and internal/journal
// test those with clocks and file systems of their own.
//
// Checked: an answer names parts of its own request only, of the shards of one
// configuration, each once, and holds their greatest records; "not run" is true; a
// request that may run once runs at most once; a stop cuts no request that was passed
// on; a leaf that leaves gets nothing new; a read configuration is never older than one
// acknowledged before; a leaf's connections stay within its limit; afterwards all is
// served again and what was acknowledged is there, and a request that went on to crash leaves
// reaches hardly any.
package soak
