// Package peer connects pearmoor's processes to each other, and operators' tools to
// control VMs, by drpc over mutual TLS.
//
// A Pool keeps connections to other processes and reuses them; Serve accepts and serves
// them. Both sides authenticate by certificate: an Identity is a VM or an operator, named
// in a URI of the certificate, and each drpc service is open to one of the two kinds only.
// Plain text is accepted between loopback addresses, and on other addresses only by
// NewTrustedPool and ServeTrusted.
package peer
