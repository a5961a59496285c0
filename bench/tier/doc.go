// Package tier starts a tier of real pearmoord and pearmoor-standin processes
// on loopback for an experiment, and ends each of them by its process id.
package tier
