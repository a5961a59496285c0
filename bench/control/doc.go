// Command control measures the cost of the control plane in a tier of real pearmoord
// processes on loopback, for several numbers of daemons: the time from a change until
// it is in force on every VM, and the processor time, memory and bytes of each daemon
// while nothing changes. It prints a table and a linear fit over the sizes.
//
// The settings declare no leaf, so the daemons do only control work. The command
// signals only processes that it started.
package main
