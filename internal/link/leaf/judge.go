package leaf

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
)

// classifyResponse turns a complete HTTP response into an outcome. Only a reply that matches
// the request proves that the request ran, and only a refusal that matches it (429, 503 or 409)
// proves that it did not.
func classifyResponse(resp *http.Response, body []byte, req *contract.LeafRequest) outcome {
	switch resp.StatusCode {
	case http.StatusOK:
		return classifyReply(body, req)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict:
		return classifyRefusal(resp, body, req)
	default:
		return failedAfterWrite(contract.ReasonTargetFailed, statusError(resp))
	}
}

// classifyRefusal checks that a refusal matches the request. One that names no request says
// something of the leaf's load, but not that this request did not run.
func classifyRefusal(resp *http.Response, body []byte, req *contract.LeafRequest) outcome {
	var refusal contract.LeafRefusal
	switch err := json.Unmarshal(body, &refusal); {
	case err != nil || refusal.ID == "":
		out := failedAfterWrite(contract.ReasonTargetFailed, errors.Wrap(statusError(resp), "a refusal that names no request"))
		if resp.StatusCode != http.StatusConflict {
			out.gateOutcome, out.retryAfter = admit.Refused, parseRetryAfter(resp.Header.Get("Retry-After"), time.Now())
		}
		return out
	case !refusal.Matches(req):
		return wrongReply("refusal", refusal.ID, refusal.Attempt, refusal.Shard, refusal.IndexVersion)
	}
	if resp.StatusCode == http.StatusConflict {
		e := contract.Refuse(contract.ReasonNoLiveTarget, statusError(resp))
		return outcome{err: e, gateOutcome: admit.Declined}
	}
	repliesRefused.Inc(1)
	delay := parseRetryAfter(resp.Header.Get("Retry-After"), time.Now())
	e := contract.Refuse(contract.ReasonTargetRefused, statusError(resp))
	e.RetryAfter = delay.Milliseconds()
	return outcome{err: e, gateOutcome: admit.Refused, retryAfter: delay}
}

// wrongReply is the outcome of an exchange whose response is that to another one.
func wrongReply(kind, id string, attempt, shard uint32, version uint64) outcome {
	repliesWrong.Inc(1)
	err := errors.Newf("the %s is of request %q attempt %d shard %d version %d", kind, id, attempt, shard, version)
	out := failedAfterWrite(contract.ReasonWrongReply, err)
	out.gateOutcome = admit.Declined // the leaf responds, but the reply gives no valid latency sample
	return out
}

func statusError(resp *http.Response) error {
	return errors.Newf("the target answered with status %d", resp.StatusCode)
}

// classifyReply parses the body of a 200 response and checks that it matches the request.
func classifyReply(body []byte, req *contract.LeafRequest) outcome {
	reply, err := parseReply(body)
	if err != nil {
		return failedAfterWrite(contract.ReasonWrongReply, err)
	}
	if !reply.Matches(req) {
		return wrongReply("reply", reply.ID, reply.Attempt, reply.Shard, reply.IndexVersion)
	}
	return outcome{reply: reply, gateOutcome: admit.Answered}
}

func parseReply(body []byte) (*contract.LeafReply, error) {
	reply := new(contract.LeafReply)
	if err := json.Unmarshal(body, reply); err != nil {
		return nil, errors.Wrap(err, "the reply is not valid")
	}
	return reply, nil
}

// maxRetryAfter caps the Retry-After that a leaf may request.
const maxRetryAfter = time.Hour

// parseRetryAfter parses a Retry-After header, either in seconds or as a date. It returns 0
// if the header is missing or invalid.
func parseRetryAfter(v string, now time.Time) time.Duration {
	if v == "" {
		return 0
	}
	if s, err := strconv.ParseUint(v, 10, 32); err == nil {
		return min(time.Duration(s)*time.Second, maxRetryAfter)
	}
	at, err := http.ParseTime(v)
	if err != nil {
		return 0
	}
	return min(max(0, at.Sub(now)), maxRetryAfter)
}
