// Package baseline holds the other side of the experiments: clients that send
// straight to the leaves, each by another policy, measured by the same load
// tool as the tier. None of it is used by a daemon.
package baseline
