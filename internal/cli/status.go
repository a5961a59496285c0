package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// controlVM is one member of the control group.
type controlVM struct {
	ID       uint64 `json:"id"`
	Name     string `json:"name"`
	PeerAddr string `json:"peer_addr"`
	Voter    bool   `json:"voter"`
	Leader   bool   `json:"leader"`
	Match    uint64 `json:"match_index"` // index of the last log entry known to be on its disk
}

// daemonState is the state of one daemon as known to the leader.
type daemonState struct {
	Name       string `json:"name"`
	Domain     string `json:"domain"`
	Region     string `json:"region"`
	PeerAddr   string `json:"peer_addr"`
	CallerAddr string `json:"caller_addr,omitempty"`
	Phase      string `json:"phase"`
	Config     uint64 `json:"config_version"`
	Epoch      uint64 `json:"acked_epoch"`
	LeaseMS    uint32 `json:"lease_left_ms"`
}

// statusResult is the output of the status command.
type status struct {
	Term    uint64        `json:"term"`
	Commit  uint64        `json:"commit"`
	Config  uint64        `json:"config_version"`
	Settled uint64        `json:"settled_epoch"`
	Pending uint64        `json:"pending_epoch,omitempty"`
	Group   []controlVM   `json:"control"`
	Daemons []daemonState `json:"daemons"`
	Stale   bool          `json:"stale"`       // no leader answered; the status is from another control VM
	Behind  []string      `json:"unconfirmed"` // daemons that have not confirmed the newest version
	InForce bool          `json:"in_force"`    // the newest version is in force everywhere

	all bool
}

func (a *app) declareStatus(k *kingpin.Application) {
	var all bool
	c := k.Command("status", `Show the control group, the daemons, and whether the newest version is in force everywhere.

Example: pearmoor status`)
	c.Flag("all", "List every daemon; else, of more than 30, those that need a look.").BoolVar(&all)
	c.Action(func(*kingpin.ParseContext) error { return a.status(all) })
}

// statusTimeout limits the wait for the leader. If there is none, an early answer
// from another control VM is more useful than a long wait.
const statusTimeout = 4 * time.Second

func (a *app) status(all bool) error {
	reply, err := a.readStatus()
	if err != nil {
		return err
	}
	out := &status{
		all:     all,
		Term:    reply.GetTerm(),
		Commit:  reply.GetCommit(),
		Config:  reply.GetConfigVersion(),
		Settled: reply.GetSettledEpoch(),
		Pending: reply.GetPendingEpoch(),
		Group:   groupOf(reply.GetGroup()),
		Stale:   reply.GetRedirect() != "" || !hasLeader(reply),
	}
	for _, d := range reply.GetDaemons() {
		out.Daemons = append(out.Daemons, newDaemonState(d))
	}
	if out.Stale {
		return a.print(out)
	}
	force, err := a.inForce(out.Config, 0)
	if err != nil {
		return err
	}
	out.Behind, out.InForce = force.GetUnconfirmed(), force.GetInForce()
	return a.print(out)
}

// readStatus returns the leader's status. If no leader answers, it returns the status
// of the control VM with the highest commit index; that reply redirects to a leader or
// lists no leader.
func (a *app) readStatus() (*wire.StatusReply, error) {
	c, err := a.connect()
	if err != nil {
		return nil, err
	}
	short := *c
	short.timeout = min(c.timeout, statusTimeout)
	var known *wire.StatusReply
	reply, _, err := call(a.ctx, &short, 0, func(ctx context.Context, cc wire.DRPCControlClient) (*wire.StatusReply, error) {
		one, err := cc.Status(ctx, &wire.StatusRequest{})
		if err != nil {
			return nil, err
		}
		if known == nil || one.GetCommit() > known.GetCommit() {
			known = one
		}
		if one.GetRedirect() == "" && !hasLeader(one) {
			return nil, errNoLeader // try the others: this VM may have been removed from the group
		}
		return one, nil
	})
	var coded *exitError
	switch {
	case err == nil:
		return reply, nil
	case errors.As(err, &coded):
		return nil, err
	case known != nil:
		return known, nil
	}
	return nil, &exitError{code: ExitUnreachable, cause: errors.Wrapf(err, "no control VM of %v answered", c.addrs)}
}

var errNoLeader = errors.New("the control VM knows no leader")

func hasLeader(reply *wire.StatusReply) bool {
	for _, m := range reply.GetGroup() {
		if m.GetLeader() {
			return true
		}
	}
	return false
}

func groupOf(ws []*wire.ControlVm) []controlVM {
	out := make([]controlVM, len(ws))
	for i, w := range ws {
		out[i] = controlVM{
			ID:       w.GetId(),
			Name:     w.GetName(),
			PeerAddr: w.GetPeerAddr(),
			Voter:    w.GetVoter(),
			Leader:   w.GetLeader(),
			Match:    w.GetMatchIndex(),
		}
	}
	return out
}

var phaseNames = map[vm.Phase]string{vm.Starting: "starting", vm.Serving: "serving", vm.Draining: "draining", vm.Gone: "gone"}

func newDaemonState(d *wire.DaemonStatus) daemonState {
	m := vm.FromWire(d.GetVm())
	return daemonState{
		Name:       m.Name,
		Domain:     m.Domain,
		Region:     m.Region,
		PeerAddr:   m.PeerAddr,
		CallerAddr: m.CallerAddr,
		Phase:      phaseNames[m.Phase],
		Config:     d.GetConfigVersion(),
		Epoch:      d.GetAckedEpoch(),
		LeaseMS:    d.GetLeaseLeftMs(),
	}
}

func (s *status) writeText(w io.Writer) {
	if s.Stale {
		fmt.Fprintln(w, "no leader answers: no change is accepted now, and this may be old")
	}
	fmt.Fprintf(w, "configuration %d, %s\n", s.Config, s.inForceText())
	fmt.Fprintf(w, "membership epoch %d%s\n", s.Settled, s.pendingText())
	fmt.Fprintf(w, "control group in term %d, %d entries agreed\n\n", s.Term, s.Commit)
	writeGroup(w, s.Group)
	fmt.Fprintln(w)
	s.writeDaemons(w)
}

// maxListedDaemons is how many daemons are listed without --all.
const maxListed = 30

func (s *status) writeDaemons(w io.Writer) {
	listed := s.Daemons
	if !s.all && len(listed) > maxListed {
		listed = s.conspicuous()
		fmt.Fprintf(w, "%d of %d daemons serve at the newest version; the others:\n", len(s.Daemons)-len(listed), len(s.Daemons))
		listed = listed[:min(len(listed), maxListed)]
	}
	rows := make([][]string, len(listed))
	for i, d := range listed {
		rows[i] = []string{d.Name, d.Domain, d.Phase, fmt.Sprint(d.Config), fmt.Sprint(d.Epoch), leaseText(d.LeaseMS), orDash(d.CallerAddr)}
	}
	table(w, "DAEMON|DOMAIN|PHASE|CONFIGURATION|EPOCH|LEASE LEFT|CALLERS USE", rows)
}

// daemonsNotCurrent returns the daemons that are not serving, have an older version
// than the newest, or hold no lease.
func (s *status) conspicuous() []daemonState {
	var out []daemonState
	for _, d := range s.Daemons {
		if d.Phase != phaseNames[vm.Serving] || d.Config < s.Config || d.LeaseMS == 0 {
			out = append(out, d)
		}
	}
	return out
}

func (s *status) inForceText() string {
	switch {
	case s.Stale:
		return "whether it is in force everywhere is not known"
	case s.InForce:
		return "in force everywhere"
	case len(s.Behind) > 0:
		return "not yet in force on " + strings.Join(s.Behind, ", ")
	}
	return "not yet in force everywhere"
}

func (s *status) pendingText() string {
	if s.Pending == 0 {
		return ""
	}
	return fmt.Sprintf(", %d pending", s.Pending)
}

func leaseText(ms uint32) string {
	if ms == 0 {
		return "none"
	}
	return fmt.Sprintf("%.1f s", float64(ms)/1000)
}

func writeGroup(w io.Writer, group []controlVM) {
	rows := make([][]string, len(group))
	for i, m := range group {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		if m.Leader {
			role = "leader"
		}
		rows[i] = []string{fmt.Sprint(m.ID), m.Name, m.PeerAddr, role, fmt.Sprint(m.Match)}
	}
	table(w, "CONTROL VM|NAME|ADDRESS|ROLE|LOG", rows)
}
