package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"pearmoor/internal/contract"
)

// post sends q. wrote reports whether any part of it may have been sent.
func (c *caller) post(ctx context.Context, u string, q *contract.Request) (status int, body []byte, wrote bool, err error) {
	payload, err := json.Marshal(q)
	if err != nil {
		return 0, nil, false, err
	}
	var mayHaveSent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { mayHaveSent.Store(true) },
	}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, u, bytes.NewReader(payload))
	if err != nil {
		return 0, nil, false, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil, mayHaveSent.Load(), err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, body, true, err
}
