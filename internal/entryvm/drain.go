package entryvm

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/vm"
)

const (
	// acceptFraction is the fraction of the grace period during which a stopping daemon
	// still accepts requests, because callers keep its address for a while and continue to
	// use open connections.
	acceptFraction = 0.6
	// finishFraction is the fraction of the grace period after which the requests in
	// flight are cut off. The rest is for transferring leadership.
	finishFraction = 0.9
	// stopFraction is the fraction of the grace period after which a VM of which a part has
	// failed ends, even if others still run.
	stopFraction = 0.95
	// finalAnswerTime is reserved for sending final answers to the requests that are still
	// in flight. They include requests that were received just before the daemon stopped
	// accepting and that no leaf answers; without it their callers would see a closed
	// connection.
	finalAnswerTime = 150 * time.Millisecond
)

// drain shuts the VM down gracefully. Callers learn from the address list, and from each
// answer on an open connection, to use another daemon. Until then the daemon serves them,
// and it sends a complete answer to every request that it has read.
func (v *VM) drain() {
	start := time.Now()
	v.draining.Store(true)
	v.client.SetPhase(vm.Draining)
	klog.Infof("entry: %s drains", v.conf.Name)
	time.Sleep(time.Duration(acceptFraction * float64(v.conf.GracePeriod)))
	deadline := start.Add(time.Duration(finishFraction * float64(v.conf.GracePeriod)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	defer time.AfterFunc(time.Until(deadline.Add(-finalAnswerTime)), v.engine.FinishAll).Stop()
	if err := v.server.Shutdown(ctx); err != nil {
		klog.Warningf("entry: %s stopped before all requests in flight had ended: %v", v.conf.Name, err)
	}
	v.client.SetPhase(vm.Gone)
	time.Sleep(goneReportTime)
}

// goneReportTime is how long drain waits for the Gone phase to reach the control group. It
// suffices on a working network.
const goneReportTime = 60 * time.Millisecond
