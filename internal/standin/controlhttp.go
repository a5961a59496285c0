package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// Endpoints of a fleet's control address.
const (
	ControlPath = "/control" // POST Command
	StatsPath   = "/stats"   // GET; window=1 starts a new window of in-flight peaks
	VMsPath     = "/vms"     // POST PlatformUpdate
)

// PlatformUpdate is the body of POST /vms. If VMs is nil, the list is unchanged.
type PlatformUpdate struct {
	Lag Duration              `json:"lag"`
	VMs []contract.PlatformVM `json:"vms,omitempty"`
}

// ControlReply is the reply to POST /control.
type ControlReply struct {
	Leaves int `json:"leaves"` // number of selected leaves
}

// Handler serves control, statistics and the platform's VM list.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ControlPath, f.serveControl)
	mux.HandleFunc("GET "+StatsPath, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, f.Stats(r.URL.Query().Get("window") != ""))
	})
	mux.HandleFunc("GET "+contract.PlatformVMsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, f.platform.VMs())
	})
	mux.HandleFunc("POST "+VMsPath, f.servePlatform)
	return mux
}

func (f *Fleet) serveControl(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeFailure(w, err)
		return
	}
	c, err := ParseCommand(body)
	if err != nil {
		writeFailure(w, err)
		return
	}
	n, err := f.Apply(c)
	if err != nil {
		writeFailure(w, err)
		return
	}
	if n == 0 {
		writeFailure(w, contract.Faults{{Field: "leaf", Value: c.Leaf + " " + c.Service, Why: "chooses no leaf", Fix: "use a name or path of GET " + StatsPath}})
		return
	}
	writeJSON(w, ControlReply{Leaves: n})
}

func (f *Fleet) servePlatform(w http.ResponseWriter, r *http.Request) {
	var u PlatformUpdate
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&u)
	if err == nil && u.Lag < 0 {
		err = contract.Faults{{Field: "lag", Value: time.Duration(u.Lag).String(), Why: "is negative", Fix: "use 0s or more"}}
	}
	if err != nil {
		writeFailure(w, err)
		return
	}
	f.platform.SetLag(time.Duration(u.Lag))
	if u.VMs != nil {
		f.platform.SetVMs(u.VMs)
	}
	writeJSON(w, f.platform.VMs())
}

func writeFailure(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var fs contract.Faults
	if !errors.As(err, &fs) {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(contract.Failure{
		Verdict: contract.NotRun,
		Reason:  contract.ReasonInvalidRequest,
		Faults:  fs,
		Message: err.Error(),
	})
}
