// Package peer connects pearmoor's own processes to each other, and operators'
// tools to control VMs, by drpc over mutual TLS.
//
// A Pool keeps connections to other processes and reuses them; Serve answers
// them. Both sides prove who they are by certificate: an Identity is a VM or an
// operator, named in a URI of the certificate, and each remote call is open to
// one of the two kinds only. Plain text is possible between loopback addresses
// and nowhere else.
package peer
