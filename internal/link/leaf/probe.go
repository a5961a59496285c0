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

// Bounds of a status report, against one that lies about its size.
const (
	shardsMax  = 1 << 16
	indexesMax = 1 << 10
)

// probe asks a leaf for its status on a connection of its pool. It does not
// wait for one: requests come first.
func (s *Sender) probe(addr string, timeout time.Duration) (contract.LeafStatus, error) {
	p := s.pool(addr)
	if p == nil {
		return contract.LeafStatus{}, errNoShare
	}
	c, err := p.tryGet()
	if err != nil {
		return contract.LeafStatus{}, err
	}
	body, err := c.fetch(p, timeout)
	if err != nil {
		return contract.LeafStatus{}, err
	}
	return parseStatus(body)
}

func (c *conn) fetch(p *pool, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: p.addr, Path: contract.LeafStatusPath}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		p.put(c)
		return nil, err
	}
	resp, err := c.client.RoundTrip(req)
	if err != nil {
		c.end()
		return nil, err
	}
	var buf bytes.Buffer
	if err := readAll(&buf, resp, statusLimit); err != nil {
		c.end()
		return nil, err
	}
	if resp.Close {
		c.end()
	} else {
		p.put(c)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp)
	}
	return buf.Bytes(), nil
}

// parseStatus reads and checks a status report.
func parseStatus(body []byte) (contract.LeafStatus, error) {
	var st contract.LeafStatus
	if err := json.Unmarshal(body, &st); err != nil {
		return st, errors.Wrap(err, "the status is not valid")
	}
	switch st.State {
	case contract.LeafStarting, contract.LeafServing, contract.LeafDraining:
	default:
		return st, errors.Newf("the status has state %q; expected starting, serving or draining", st.State)
	}
	if st.InFlight < 0 || st.InFlight > math.MaxInt32 || st.Slots < 0 || st.Slots > math.MaxInt32 {
		return st, errors.Newf("the status has in_flight %d of %d slots", st.InFlight, st.Slots)
	}
	if len(st.Indexes) > indexesMax {
		return st, errors.Newf("the status has %d indexes; at most %d are read", len(st.Indexes), indexesMax)
	}
	for i := range st.Indexes {
		if err := checkIndex(&st.Indexes[i]); err != nil {
			return st, err
		}
	}
	return st, nil
}

func checkIndex(ix *contract.LeafIndex) error {
	if ix.Shards == 0 || ix.Shards > shardsMax {
		return errors.Newf("index %d of %q has %d shards; expected 1 to %d", ix.Version, ix.Service, ix.Shards, shardsMax)
	}
	if ix.Version == 0 {
		return errors.Newf("an index of %q has version 0", ix.Service)
	}
	for _, shard := range ix.Held {
		if shard >= ix.Shards {
			return errors.Newf("index %d of %q holds shard %d of %d", ix.Version, ix.Service, shard, ix.Shards)
		}
	}
	return nil
}
