package query

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// maxValueBytes bounds how much of an invalid value an error message quotes.
const maxValueBytes = 64

// DecodeRequest decodes the JSON body of a query, of at most limit bytes. Its errors are
// contract.Faults. An unknown field may be an option that the caller relies on, so it is an
// error and is not ignored.
func DecodeRequest(b []byte, limit int) (*contract.Request, error) {
	if limit > 0 && len(b) > limit {
		return nil, fault("body", fmt.Sprintf("%d bytes", len(b)),
			fmt.Sprintf("the request is longer than the limit of %d bytes", limit), "send a shorter request or raise body-limit")
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	var r contract.Request
	if err := dec.Decode(&r); err != nil {
		return nil, decodeFault(b, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, fault("request", truncated(b[dec.InputOffset():]), "there is more after the JSON object", "send exactly one JSON object")
	}
	return &r, nil
}

// unknownFieldPrefix starts the error that encoding/json returns for an unknown field. That
// error has no type of its own to test for.
const unknownFieldPrefix = "json: unknown field "

// decodeFault converts an error of encoding/json to contract.Faults.
func decodeFault(b []byte, err error) error {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr):
		return fault(typeErr.Field, typeErr.Value, "it can't be read as "+typeErr.Type.String(), "send the type that the reference names")
	case errors.As(err, &syntaxErr):
		return fault("request", truncated(b), fmt.Sprintf("it is not JSON: %v at byte %d", syntaxErr, syntaxErr.Offset), "send one JSON object")
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		name := strings.Trim(strings.TrimPrefix(err.Error(), unknownFieldPrefix), `"`)
		return fault(name, "", "the field is not known", "remove it or mend its spelling")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fault("request", truncated(b), "the JSON object is not complete", "send one JSON object")
	}
	return fault("request", truncated(b), err.Error(), "send one JSON object")
}

// truncated returns b as text, cut to maxValueBytes.
func truncated(b []byte) string {
	if len(b) > maxValueBytes {
		return string(b[:maxValueBytes]) + "..."
	}
	return string(b)
}

// fault returns contract.Faults with a single fault.
func fault(field, value, why, fix string) contract.Faults {
	return contract.Faults{{Field: field, Value: value, Why: why, Fix: fix}}
}
