// Package evacuation holds the failure domains whose leaves are to receive no requests, as
// agreed by the control group. It decides which orders of operators are accepted and
// translates the agreed state from and to the settings tree.
//
// An order carries no number, and operators send it again through other daemons until one
// acknowledges it. A daemon may therefore still carry an order when a later one has been
// acknowledged. To keep such an order from taking effect, each order carries the version of
// the settings tree that its daemon had when it received the order, and each accepted order
// records the version that it became. An order that was received before the newest accepted
// order of the domain was known is refused as outdated.
package evacuation
