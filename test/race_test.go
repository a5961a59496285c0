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

// TestOperatorsRace: six operators change the same setting at the same time, each
// for the version that all of them saw. Exactly one change is accepted; each of the
// others is told that it lost, to which change and whose, and nothing of it is in
// the tree.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	const racers = 6
	tr := startTier(t, shape{controls: 3, entries: 1})
	for round := range 4 {
		base := tr.version()
		codes, says := make([]int, racers), make([]string, racers)
		var race sync.WaitGroup
		for i := range racers {
			race.Go(func() {
				codes[i], _, says[i] = operate(fmt.Sprintf("operator-%d", i), tr.controlAddrs(), "set", desk,
					fmt.Sprintf("--hedge-after=%dms", 100*(round+1)+i), fmt.Sprintf("--base=%d", base), "--reason=race", "--wait=0s")
			})
		}
		race.Wait()
		winner := -1
		for i, code := range codes {
			if code == cli.ExitOK {
				if winner >= 0 {
					t.Errorf("round %d: both operator %d and %d won", round, winner, i)
				}
				winner = i
			}
		}
		if winner < 0 {
			t.Fatalf("round %d: nobody won: %v %v", round, codes, says)
		}
		for i, code := range codes {
			if i != winner && (code != cli.ExitConflict || !strings.Contains(says[i], fmt.Sprintf("operator-%d ", winner))) {
				t.Errorf("round %d: operator %d lost to %d: exit %d, told %q", round, i, winner, code, says[i])
			}
		}
		if v := tr.version(); v != base+1 {
			t.Errorf("round %d: version %d follows %d", round, v, base)
		}
		if got := tr.must("get", desk, "--output=json"); !strings.Contains(got, fmt.Sprintf(`"%dms"`, 100*(round+1)+winner)) {
			t.Errorf("round %d: the tree does not hold the winner's value: %s", round, got)
		}
	}
}

// TestResendOfAChange: an operator's tool loses the reply to an accepted change. By
// then another change has been accepted and the leader lost. The same change id,
// sent again to the new leader, gets the first outcome, also from the restarted old
// one; it is neither made twice nor said to conflict.
func TestResendOfAChange(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 3, entries: 1})
	base := tr.version()
	change := []string{"set", desk, "--hedge-after=111ms", fmt.Sprintf("--base=%d", base), "--change-id=lost-reply",
		"--reason=its reply is lost", "--wait=0s", "--output=json"}
	tr.must(change...)
	tr.must("set", desk, "--hedge-after=222ms", "--reason=another change", "--wait=20s")
	old := tr.leader()
	old.kill()
	tr.leader()
	checkResend(t, tr, base)
	old.start()
	tr.leader()
	checkResend(t, tr, base)
	if v := tr.version(); v != base+2 {
		t.Errorf("the newest version is %d, want %d", v, base+2)
	}
}

// checkResend sends the change of TestResendOfAChange again to each control VM, as
// a tool does that has no memory of the tree.
func checkResend(t *testing.T, tr *tier, base uint64) {
	t.Helper()
	for _, p := range tr.controls {
		if p.cmd == nil {
			continue
		}
		await(t, "the first outcome by way of "+p.name, func() bool {
			reply, err := changeAt(p.peer, &wire.ChangeRequest{
				ChangeId: "lost-reply", BaseVersion: base, Reason: "its reply is lost", Operator: "asha",
				Edits: []*wire.Edit{{Path: desk, Name: "hedge-after", Value: "111ms"}},
			})
			if err != nil || reply.Redirect != "" {
				return err == nil && reply.Redirect != p.peer // it names the leader, which is asked as well
			}
			if reply.Outcome != wire.Outcome_ACCEPTED || reply.Version != base+1 || !reply.Resend {
				t.Errorf("%s: outcome %v, version %d, resend %v; want the first outcome, version %d", p.name, reply.Outcome, reply.Version, reply.Resend, base+1)
			}
			return true
		})
	}
}

func changeAt(addr string, req *wire.ChangeRequest) (*wire.ChangeReply, error) {
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
