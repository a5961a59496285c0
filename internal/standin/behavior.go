package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"pearmoor/internal/contract"
)

// Behavior configures how a leaf behaves. It can be changed while the leaf runs.
// Shares are fractions of requests from 0 to 1.
type Behavior struct {
	Slots       int      `json:"slots"`        // maximum number of requests that run at once
	Queue       int      `json:"queue"`        // maximum number of requests that wait for a slot; more are refused
	Connections int      `json:"connections"`  // maximum number of open connections; 0: unlimited
	ConnectCost Duration `json:"connect_cost"` // time from accept until the first byte is read

	Latency         Duration `json:"latency"`          // median processing time
	Spread          float64  `json:"spread"`           // sigma of the lognormal factor on Latency; 0: fixed latency
	StragglerShare  float64  `json:"straggler_share"`  // run and take StragglerFactor times as long
	StragglerFactor float64  `json:"straggler_factor"` // at least 1
	ColdStart       Duration `json:"cold_start"`       // time after its start for which the leaf is cold
	ColdFactor      float64  `json:"cold_factor"`      // latency factor while cold, at least 1

	RefuseShare  float64  `json:"refuse_share"`  // refused before running
	RefuseStatus int      `json:"refuse_status"` // 429 or 503
	RetryAfter   Duration `json:"retry_after"`   // header of refusals, rounded up to whole seconds

	HangShare         float64  `json:"hang_share"`          // occupy the slot and never reply
	ResetShare        float64  `json:"reset_share"`         // run, then reset the connection
	EarlyResetShare   float64  `json:"early_reset_share"`   // reset before running
	LateShare         float64  `json:"late_share"`          // reply LateBy after the deadline
	LateBy            Duration `json:"late_by"`             // see LateShare
	CrossShare        float64  `json:"cross_share"`         // reply with the identity and hits of another request
	WrongVersionShare float64  `json:"wrong_version_share"` // run and reply with another index version

	CrashKey string   `json:"crash_key"` // run key of requests that crash the leaf when they start to run; "": none
	CrashFor Duration `json:"crash_for"` // downtime after a crash

	Draining       bool     `json:"draining"`        // refuse new requests and finish those in flight
	ReportInFlight *int     `json:"report_inflight"` // load to report instead of the actual load; nil: the actual load
	ReportLag      Duration `json:"report_lag"`      // minimum age of the reported status before it is refreshed
	StatusHang     bool     `json:"status_hang"`     // never answer status requests
}

// DefaultBehavior returns the behavior of a healthy leaf with two slots.
func DefaultBehavior() Behavior {
	return Behavior{
		Slots:           2,
		Queue:           64,
		Connections:     30,
		Latency:         Duration(5 * time.Millisecond),
		StragglerFactor: 1,
		ColdFactor:      1,
		RefuseStatus:    http.StatusServiceUnavailable,
		RetryAfter:      Duration(time.Second),
	}
}

// Update returns a copy of b in which the fields of the JSON object patch are replaced.
func (b Behavior) Update(patch []byte) (Behavior, error) {
	dec := json.NewDecoder(bytes.NewReader(patch))
	dec.DisallowUnknownFields()
	if b.ReportInFlight != nil {
		// The decoder writes through the pointer, which other copies of b share.
		v := *b.ReportInFlight
		b.ReportInFlight = &v
	}
	if err := dec.Decode(&b); err != nil {
		return b, contract.Faults{{Field: "set", Value: string(patch), Why: err.Error(), Fix: "send an object of behavior fields"}}
	}
	return b, b.Validate()
}

// Validate returns contract.Faults with every value that is out of range.
func (b Behavior) Validate() error {
	var fs contract.Faults
	atLeast := func(field string, v, least float64) {
		if !(v >= least) {
			fs = append(fs, contract.Fault{Field: field, Value: fmt.Sprint(v), Why: "is too small", Fix: fmt.Sprintf("use %v or more", least)})
		}
	}
	share := func(field string, v float64) {
		if !(v >= 0 && v <= 1) {
			fs = append(fs, contract.Fault{Field: field, Value: fmt.Sprint(v), Why: "is no fraction", Fix: "use 0 to 1"})
		}
	}
	atLeast("slots", float64(b.Slots), 1)
	atLeast("queue", float64(b.Queue), 0)
	atLeast("connections", float64(b.Connections), 0)
	atLeast("spread", b.Spread, 0)
	atLeast("straggler_factor", b.StragglerFactor, 1)
	atLeast("cold_factor", b.ColdFactor, 1)
	for _, d := range []struct {
		field string
		value Duration
	}{
		{"connect_cost", b.ConnectCost}, {"latency", b.Latency}, {"cold_start", b.ColdStart},
		{"retry_after", b.RetryAfter}, {"late_by", b.LateBy}, {"crash_for", b.CrashFor}, {"report_lag", b.ReportLag},
	} {
		atLeast(d.field, float64(d.value), 0)
	}
	for _, s := range []struct {
		field string
		value float64
	}{
		{"straggler_share", b.StragglerShare}, {"refuse_share", b.RefuseShare}, {"hang_share", b.HangShare},
		{"reset_share", b.ResetShare}, {"early_reset_share", b.EarlyResetShare}, {"late_share", b.LateShare},
		{"cross_share", b.CrossShare}, {"wrong_version_share", b.WrongVersionShare},
	} {
		share(s.field, s.value)
	}
	if b.RefuseStatus != http.StatusTooManyRequests && b.RefuseStatus != http.StatusServiceUnavailable {
		fs = append(fs, contract.Fault{Field: "refuse_status", Value: fmt.Sprint(b.RefuseStatus), Why: "is no refusal of the target protocol", Fix: "use 429 or 503"})
	}
	return fs.ErrOrNil()
}
