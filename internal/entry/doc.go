// Package entry answers callers over HTTP: which addresses to use, and queries.
// Every failure is a contract.Failure in JSON whose verdict says whether the
// request may have run.
package entry
