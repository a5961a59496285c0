// Package baseline provides what the tier is compared with in experiments: clients
// that send to the leaves directly, with different policies, driven by the same load
// generator as the tier. Daemons do not use it.
package baseline
