// Command control measures what control costs a tier of real pearmoord processes
// on loopback, at several sizes: the time from a change to its being in force
// everywhere, and at rest the processor time, memory and bytes per daemon. It
// prints a table and the slopes over the sizes.
//
// No leaf is declared, so the daemons do nothing but control. Every process is
// ended by its process id.
package main
