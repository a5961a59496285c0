// Package route selects the route of a forwarded request and the services that the
// request is sent to.
//
// A Release is a complete, numbered routing configuration sent by an operator's
// system. Edits stores it as ordinary nodes of the settings tree, so that plan,
// explain, diff and history cover it, and FromTree reads it back. A Table is the
// index in which a daemon looks up routes.
package route
