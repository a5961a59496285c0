package test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pearmoor/internal/cli"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

// TestConcurrentChangesOfOneSetting guards against lost updates. Six operators change one
// setting at the same time, based on the same version. Exactly one change must be accepted.
// The others must get a conflict that names the winning operator, and must leave nothing
// in the tree.
func TestConcurrentChangesOfOneSetting(t *testing.T) {
	t.Parallel()
	const operators = 6
	tr := startTier(t, tierConfig{controls: 3, entries: 1})
	for round := range 4 {
		base := tr.version()
		codes, messages := make([]int, operators), make([]string, operators)
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() {
				codes[i], _, messages[i] = runCLIAs(fmt.Sprintf("operator-%d", i), tr.controlAddrs(), "set", deskPath,
					fmt.Sprintf("--hedge-after=%dms", 100*(round+1)+i), fmt.Sprintf("--base=%d", base), "--reason=race", "--wait=0s")
			})
		}
		wg.Wait()
		winner := -1
		for i, code := range codes {
			if code == cli.ExitOK {
				if winner >= 0 {
					t.Errorf("round %d: operators %d and %d were both accepted", round, winner, i)
				}
				winner = i
			}
		}
		if winner < 0 {
			t.Fatalf("round %d: no change accepted: %v %v", round, codes, messages)
		}
		for i, code := range codes {
			if i != winner && (code != cli.ExitConflict || !strings.Contains(messages[i], fmt.Sprintf("operator-%d ", winner))) {
				t.Errorf("round %d: operator %d conflicts with operator %d: exit %d, message %q", round, i, winner, code, messages[i])
			}
		}
		if v := tr.version(); v != base+1 {
			t.Errorf("round %d: version is %d after one change to version %d", round, v, base)
		}
		if got := tr.mustRun("get", deskPath, "--output=json"); !strings.Contains(got, fmt.Sprintf(`"%dms"`, 100*(round+1)+winner)) {
			t.Errorf("round %d: the tree does not contain the accepted value: %s", round, got)
		}
	}
}

// TestChangeResentAfterLostReply guards against a resent change that is applied twice or
// rejected as a conflict. The operator's tool loses the reply to an accepted change; then
// another change is accepted and the leader is killed. Resending the change ID must return
// the first outcome, from the new leader and after the former one has restarted.
func TestChangeResentAfterLostReply(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 3, entries: 1})
	base := tr.version()
	change := []string{"set", deskPath, "--hedge-after=111ms", fmt.Sprintf("--base=%d", base), "--change-id=lost-reply",
		"--reason=its reply is lost", "--wait=0s", "--output=json"}
	tr.mustRun(change...)
	tr.mustRun("set", deskPath, "--hedge-after=222ms", "--reason=another change", "--wait=20s")
	former := tr.leader()
	former.kill()
	tr.leader()
	checkResend(t, tr, base)
	former.start()
	tr.leader()
	checkResend(t, tr, base)
	if v := tr.version(); v != base+2 {
		t.Errorf("the newest version is %d, want %d", v, base+2)
	}
}

// checkResend sends the change of TestChangeResentAfterLostReply again to each running
// control VM.
func checkResend(t *testing.T, tr *tier, base uint64) {
	t.Helper()
	for _, p := range tr.controls {
		if p.cmd == nil {
			continue
		}
		await(t, "the first outcome through "+p.name, func() bool {
			reply, err := sendChange(p.peerAddr, &wire.ChangeRequest{
				ChangeId: "lost-reply", BaseVersion: base, Reason: "its reply is lost", Operator: "asha",
				Edits: []*wire.Edit{{Path: deskPath, Name: "hedge-after", Value: "111ms"}},
			})
			if err != nil || reply.Redirect != "" {
				return err == nil && reply.Redirect != p.peerAddr // checkResend also asks the leader to which p redirects
			}
			if reply.Outcome != wire.Outcome_ACCEPTED || reply.Version != base+1 || !reply.Resend {
				t.Errorf("%s: outcome %v, version %d, resend %v; want the first outcome, version %d", p.name, reply.Outcome, reply.Version, reply.Resend, base+1)
			}
			return true
		})
	}
}

func sendChange(addr string, req *wire.ChangeRequest) (*wire.ChangeReply, error) {
	pool := peer.NewPool(nil)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	conn, err := pool.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return wire.NewDRPCControlClient(conn).Change(ctx, req)
}
