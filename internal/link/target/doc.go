// Package target forwards requests unmodified to leaves over persistent HTTP/1.1 connections.
// Each connection carries one exchange at a time, and each failed exchange has a verdict on
// whether the request may have run.
//
// The package never resends a request. A reply is accepted only if it echoes the request's id
// and its body is complete: a leaf may send a second, late reply in place of that to the next
// request, or bytes that belong to no request. All sends of a request have the same id, so a
// connection carries an id once: a reply with the id is then a reply to that send.
package target
