// Package leaf is the link to the targets: bounded pools of warm HTTP/1.1
// connections, sending one request under a permit with the verdict that its
// outcome allows, and probing the targets' own reports for the index versions
// they hold.
package leaf
