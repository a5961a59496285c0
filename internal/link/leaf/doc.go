// Package leaf sends requests to leaves over bounded pools of persistent HTTP/1.1
// connections. Each request is sent at most once, under a permit, and a failure carries a
// verdict on whether the request may have run. The package also probes the leaves' status
// endpoints for the index versions that they hold.
package leaf
