// Package tier runs a tier of real pearmoord and pearmoor-standin processes on
// loopback for an experiment. It signals and kills only processes that it started.
package tier
