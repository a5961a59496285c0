package query

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/query/session"
	"pearmoor/internal/settings"
)

const (
	minDeadline = 5 * time.Millisecond
	maxKeyBytes = 256
)

// queryMethod keeps the fingerprints of queries distinct from those of forwarded requests.
const queryMethod = "QUERY"

// plan is a validated request.
type plan struct {
	req      *contract.Request
	id       string
	eff      *settings.Effective // effective settings at the requested path
	services []string
	timeout  time.Duration

	content      quarantine.Request
	fingerprints quarantine.Fingerprints
	leafExits    int  // leaves that crashed or exited during the query
	leafAnswered bool // at least one leaf answered
}

// invalid returns the refusal of an invalid request.
func invalid(reason contract.Reason, fs contract.Faults) *contract.Error {
	return contract.Refuse(reason, fs)
}

// validate checks r against the settings tree. Its error lists all faults.
func validate(st tierView, id string, r *contract.Request) (*plan, *contract.Error) {
	eff, ok := st.Effective(r.Path)
	services := st.Services(r.Path)
	if !ok || len(services) == 0 || r.Path == "" {
		return nil, invalid(contract.ReasonUnknownPath, fault("path", r.Path,
			"no query service is at or below it", "name a query service or a node above one; pearmoor get lists them"))
	}
	p := &plan{req: r, id: id, eff: eff, services: services}
	p.content = quarantine.Request{Method: queryMethod, URI: r.Path, Caller: r.Caller, Body: r.Body, Length: int64(len(r.Body))}
	p.fingerprints = p.content.Fingerprints()
	var fs contract.Faults
	fs = append(fs, p.checkDeadline()...)
	fs = append(fs, p.checkLimits()...)
	fs = append(fs, p.checkKey()...)
	if len(fs) > 0 {
		return nil, invalid(contract.ReasonInvalidRequest, fs)
	}
	return p, nil
}

func (p *plan) checkDeadline() contract.Faults {
	ms := p.req.DeadlineMS
	value := strconv.FormatInt(ms, 10)
	limit := p.eff.DeadlineMax
	if ms == 0 {
		p.timeout = p.eff.DeadlineDefault
		return nil
	}
	if ms < minDeadline.Milliseconds() {
		return fault("deadline_ms", value, fmt.Sprintf("it is shorter than %v", minDeadline),
			"send the milliseconds you can wait, or leave it out")
	}
	if limit > 0 && ms > limit.Milliseconds() {
		return fault("deadline_ms", value, fmt.Sprintf("it is longer than deadline-max, %v here", limit),
			"send a shorter deadline, or leave it out")
	}
	p.timeout = time.Duration(ms) * time.Millisecond
	return nil
}

func (p *plan) checkLimits() (fs contract.Faults) {
	r := p.req
	if len(r.Body) == 0 {
		fs = append(fs, fault("body", "", "it is missing", "send the query that the targets are to run")...)
	}
	if p.eff.BodyLimit > 0 && len(r.Body) > p.eff.BodyLimit {
		fs = append(fs, fault("body", fmt.Sprintf("%d bytes", len(r.Body)),
			fmt.Sprintf("it is longer than body-limit, %d bytes here", p.eff.BodyLimit), "send a shorter body")...)
	}
	if r.Limit < 0 {
		fs = append(fs, fault("limit", strconv.Itoa(r.Limit), "it is negative", "send the most hits wanted, or 0 for all")...)
	}
	if m := r.MinCoverage; m != nil && !(*m >= 0 && *m <= 1) {
		fs = append(fs, fault("min_coverage", strconv.FormatFloat(*m, 'g', -1, 64), "it is not between 0 and 1",
			"send the share of shards from which an early answer will do")...)
	}
	return fs
}

// checkKey checks that a non-repeatable request names exactly one query service.
func (p *plan) checkKey() contract.Faults {
	r := p.req
	if r.IsRepeatable() || (len(p.services) == 1 && p.services[0] == p.eff.Path) {
		return nil
	}
	return fault("path", r.Path, fmt.Sprintf("a request that is not repeatable must name one query service, and this names %d", len(p.services)),
		"send one request to each query service")
}

// parseSession checks the key and the session of a non-repeatable request and returns the
// parsed session. It does not use the settings tree: a resend must find the first outcome
// whatever has changed in the settings since.
func parseSession(r *contract.Request) (*session.Token, *contract.Error) {
	var fs contract.Faults
	if r.Key == "" {
		fs = append(fs, fault("key", "", "a request that is not repeatable needs one", "send a key that is new for each request and the same on a resend")...)
	}
	if len(r.Key) > maxKeyBytes {
		fs = append(fs, fault("key", truncated([]byte(r.Key)), fmt.Sprintf("it is longer than %d bytes", maxKeyBytes), "send a shorter key")...)
	}
	token, err := session.Parse(r.Session)
	if err != nil {
		fs = append(fs, fault("session", truncated([]byte(r.Session)), errors.UnwrapAll(err).Error(), "take a session from GET /v1/addresses")...)
	}
	if len(fs) > 0 {
		return nil, invalid(contract.ReasonInvalidRequest, fs)
	}
	return token, nil
}
