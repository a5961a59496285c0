// Package wire holds the messages and drpc services exchanged between
// pearmoor's own processes. The .proto files are the source; scripts/generate
// writes the rest.
package wire
