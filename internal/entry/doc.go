// Package entry is the HTTP server for callers. It serves queries and the list of
// entry addresses. Every failure is answered with a contract.Failure in JSON, whose
// verdict says whether the request may have run.
package entry
