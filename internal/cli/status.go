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
	ID         uint64 `json:"id"`
	Name       string `json:"name"`
	PeerAddr   string `json:"peer_addr"`
	Voter      bool   `json:"voter"`
	Leader     bool   `json:"leader"`
	MatchIndex uint64 `json:"match_index"` // index of the last log entry known to be on its disk
}

// daemonState is the state of one daemon as known to the leader.
type daemonState struct {
	Name          string `json:"name"`
	Domain        string `json:"domain"`
	Region        string `json:"region"`
	PeerAddr      string `json:"peer_addr"`
	CallerAddr    string `json:"caller_addr,omitempty"`
	Phase         string `json:"phase"`
	ConfigVersion uint64 `json:"config_version"`
	AckedEpoch    uint64 `json:"acked_epoch"`
	LeaseLeftMS   uint32 `json:"lease_left_ms"`
}

// statusResult is the output of the status command.
type statusResult struct {
	GroupID       string        `json:"group_id"` // identity of the control group
	Term          uint64        `json:"term"`
	CommitIndex   uint64        `json:"commit"`
	ConfigVersion uint64        `json:"config_version"`
	SettledEpoch  uint64        `json:"settled_epoch"`
	PendingEpoch  uint64        `json:"pending_epoch,omitempty"`
	Group         []controlVM   `json:"control"`
	Daemons       []daemonState `json:"daemons"`
	Stale         bool          `json:"stale"`       // no leader answered; the status is from another control VM
	Unconfirmed   []string      `json:"unconfirmed"` // daemons that have not confirmed the newest version
	InForce       bool          `json:"in_force"`    // the newest version is in force everywhere

	listAll bool
}

func (a *app) declareStatus(k *kingpin.Application) {
	var listAll bool
	c := k.Command("status", `Show the control group, the daemons, and whether the newest version is in force everywhere.

Example: pearmoor status`)
	c.Flag("all", "List every daemon; else, of more than 30, those that need a look.").BoolVar(&listAll)
	c.Action(func(*kingpin.ParseContext) error { return a.printStatus(listAll) })
}

// statusTimeout limits the wait for the leader. If there is none, an early answer
// from another control VM is more useful than a long wait.
const statusTimeout = 4 * time.Second

func (a *app) printStatus(listAll bool) error {
	reply, err := a.readStatus()
	if err != nil {
		return err
	}
	out := &statusResult{
		listAll:       listAll,
		GroupID:       vm.GroupID(reply.GetGroupId()).String(),
		Term:          reply.GetTerm(),
		CommitIndex:   reply.GetCommit(),
		ConfigVersion: reply.GetConfigVersion(),
		SettledEpoch:  reply.GetSettledEpoch(),
		PendingEpoch:  reply.GetPendingEpoch(),
		Group:         controlVMsFromWire(reply.GetGroup()),
		Stale:         reply.GetRedirect() != "" || !hasLeader(reply),
	}
	for _, d := range reply.GetDaemons() {
		out.Daemons = append(out.Daemons, newDaemonState(d))
	}
	if out.Stale {
		return a.print(out)
	}
	inForce, err := a.readInForce(out.ConfigVersion, 0)
	if err != nil {
		return err
	}
	out.Unconfirmed, out.InForce = inForce.GetUnconfirmed(), inForce.GetInForce()
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
	clientCopy := *c
	clientCopy.timeout = min(c.timeout, statusTimeout)
	var newest *wire.StatusReply
	reply, _, err := call(a.ctx, &clientCopy, 0, func(ctx context.Context, cc wire.DRPCControlClient) (*wire.StatusReply, error) {
		status, err := cc.Status(ctx, &wire.StatusRequest{})
		if err != nil {
			return nil, err
		}
		if newest == nil || status.GetCommit() > newest.GetCommit() {
			newest = status
		}
		if status.GetRedirect() == "" && !hasLeader(status) {
			return nil, errNoLeader // try the others: this VM may have been removed from the group
		}
		return status, nil
	})
	var exitErr *exitError
	switch {
	case err == nil:
		return reply, nil
	case errors.As(err, &exitErr):
		return nil, err
	case newest != nil:
		return newest, nil
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

func controlVMsFromWire(ws []*wire.ControlVm) []controlVM {
	out := make([]controlVM, len(ws))
	for i, w := range ws {
		out[i] = controlVM{
			ID:         w.GetId(),
			Name:       w.GetName(),
			PeerAddr:   w.GetPeerAddr(),
			Voter:      w.GetVoter(),
			Leader:     w.GetLeader(),
			MatchIndex: w.GetMatchIndex(),
		}
	}
	return out
}

var phaseNames = map[vm.Phase]string{vm.Starting: "starting", vm.Serving: "serving", vm.Draining: "draining", vm.Gone: "gone"}

func newDaemonState(d *wire.DaemonStatus) daemonState {
	v := vm.MemberFromWire(d.GetVm())
	return daemonState{
		Name:          v.Name,
		Domain:        v.Domain,
		Region:        v.Region,
		PeerAddr:      v.PeerAddr,
		CallerAddr:    v.CallerAddr,
		Phase:         phaseNames[v.Phase],
		ConfigVersion: d.GetConfigVersion(),
		AckedEpoch:    d.GetAckedEpoch(),
		LeaseLeftMS:   d.GetLeaseLeftMs(),
	}
}

func (s *statusResult) writeText(w io.Writer) {
	if s.Stale {
		fmt.Fprintln(w, "no leader answers: no change is accepted now, and this may be old")
	}
	fmt.Fprintf(w, "configuration %d, %s\n", s.ConfigVersion, s.inForceText())
	fmt.Fprintf(w, "membership epoch %d%s\n", s.SettledEpoch, s.pendingText())
	fmt.Fprintf(w, "control group %s in term %d, %d entries agreed\n\n", s.GroupID, s.Term, s.CommitIndex)
	writeGroup(w, s.Group)
	fmt.Fprintln(w)
	s.writeDaemons(w)
}

// maxListedDaemons is how many daemons are listed without --all.
const maxListedDaemons = 30

func (s *statusResult) writeDaemons(w io.Writer) {
	listed := s.Daemons
	if !s.listAll && len(listed) > maxListedDaemons {
		listed = s.daemonsNotCurrent()
		fmt.Fprintf(w, "%d of %d daemons serve at the newest version; the others:\n", len(s.Daemons)-len(listed), len(s.Daemons))
		listed = listed[:min(len(listed), maxListedDaemons)]
	}
	rows := make([][]string, len(listed))
	for i, d := range listed {
		rows[i] = []string{d.Name, d.Domain, d.Phase, fmt.Sprint(d.ConfigVersion), fmt.Sprint(d.AckedEpoch), leaseText(d.LeaseLeftMS), dashIfEmpty(d.CallerAddr)}
	}
	writeTable(w, "DAEMON|DOMAIN|PHASE|CONFIGURATION|EPOCH|LEASE LEFT|CALLERS USE", rows)
}

// daemonsNotCurrent returns the daemons that are not serving, have an older version
// than the newest, or hold no lease.
func (s *statusResult) daemonsNotCurrent() []daemonState {
	var out []daemonState
	for _, d := range s.Daemons {
		if d.Phase != phaseNames[vm.Serving] || d.ConfigVersion < s.ConfigVersion || d.LeaseLeftMS == 0 {
			out = append(out, d)
		}
	}
	return out
}

func (s *statusResult) inForceText() string {
	switch {
	case s.Stale:
		return "whether it is in force everywhere is not known"
	case s.InForce:
		return "in force everywhere"
	case len(s.Unconfirmed) > 0:
		return "not yet in force on " + strings.Join(s.Unconfirmed, ", ")
	}
	return "not yet in force everywhere"
}

func (s *statusResult) pendingText() string {
	if s.PendingEpoch == 0 {
		return ""
	}
	return fmt.Sprintf(", %d pending", s.PendingEpoch)
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
		rows[i] = []string{fmt.Sprint(m.ID), m.Name, m.PeerAddr, role, fmt.Sprint(m.MatchIndex)}
	}
	writeTable(w, "CONTROL VM|NAME|ADDRESS|ROLE|LOG", rows)
}
