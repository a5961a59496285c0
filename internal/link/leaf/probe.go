package leaf

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// Upper bounds on the values in a status report, to limit the memory that an invalid report takes.
const (
	maxShards  = 1 << 16
	maxIndexes = 1 << 10
)

// probe fetches a leaf's status over a connection of its pool. It does not wait for a
// connection, because requests take priority.
func (s *Sender) probe(addr string, timeout time.Duration) (contract.LeafStatus, error) {
	p := s.pool(addr)
	if p == nil {
		return contract.LeafStatus{}, errNoShare
	}
	c, err := p.tryGet()
	if err != nil {
		return contract.LeafStatus{}, err
	}
	body, err := c.fetchStatus(p, timeout)
	if err != nil {
		return contract.LeafStatus{}, err
	}
	return parseStatus(body)
}

func (c *conn) fetchStatus(p *pool, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: p.addr, Path: contract.LeafStatusPath}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		p.put(c)
		return nil, err
	}
	c.netConn.expectReply(maxStatusSize)
	resp, err := c.client.RoundTrip(req)
	if err != nil {
		c.closeGraceful()
		return nil, err
	}
	var buf bytes.Buffer
	if err := readAll(&buf, resp, maxStatusSize); err != nil {
		c.closeGraceful()
		return nil, err
	}
	if resp.Close {
		c.closeGraceful()
	} else {
		p.put(c)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp)
	}
	return buf.Bytes(), nil
}

// parseStatus parses and validates a status report.
func parseStatus(body []byte) (contract.LeafStatus, error) {
	var st contract.LeafStatus
	if err := json.Unmarshal(body, &st); err != nil {
		return st, errors.Wrap(err, "invalid status report")
	}
	switch st.State {
	case contract.LeafStarting, contract.LeafServing, contract.LeafDraining:
	default:
		return st, errors.Newf("invalid state %q in status report; expected starting, serving or draining", st.State)
	}
	if st.InFlight < 0 || st.InFlight > math.MaxInt32 || st.Slots < 0 || st.Slots > math.MaxInt32 {
		return st, errors.Newf("invalid in_flight %d or slots %d in status report", st.InFlight, st.Slots)
	}
	if len(st.Indexes) > maxIndexes {
		return st, errors.Newf("status report has %d indexes; the limit is %d", len(st.Indexes), maxIndexes)
	}
	for i := range st.Indexes {
		if err := validateIndex(&st.Indexes[i]); err != nil {
			return st, err
		}
	}
	return st, nil
}

func validateIndex(ix *contract.LeafIndex) error {
	if ix.Shards == 0 || ix.Shards > maxShards {
		return errors.Newf("index %d of %q has %d shards; expected 1 to %d", ix.Version, ix.Service, ix.Shards, maxShards)
	}
	if ix.Version == 0 {
		return errors.Newf("an index of %q has the invalid version 0", ix.Service)
	}
	for _, shard := range ix.HeldShards {
		if shard >= ix.Shards {
			return errors.Newf("index %d of %q lists shard %d; it has %d shards", ix.Version, ix.Service, shard, ix.Shards)
		}
	}
	return nil
}
