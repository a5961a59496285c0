package entryvm

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

// drain shuts the VM down gracefully. Callers learn from the address list, and from each
// answer on an open connection, to use another daemon. Until then the daemon serves them,
// and it sends a complete answer to every request that it has read.
func (v *VM) drain() {
	start := time.Now()
	schedule := v.shutdown()
	v.draining.Store(true)
	v.engine.BeginShutdown(start, schedule)
	v.client.SetPhase(vm.Draining)
	klog.Infof("entry: %s drains", v.conf.Name)
	time.Sleep(schedule.AcceptUntil())
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(schedule.FinishAt()))
	defer cancel()
	defer time.AfterFunc(time.Until(start.Add(schedule.FinalAnswersAt())), v.engine.FinishAll).Stop()
	if err := v.server.Shutdown(ctx); err != nil {
		klog.Warningf("entry: %s stopped before all requests in flight had ended: %v", v.conf.Name, err)
	}
	v.client.SetPhase(vm.Gone)
	time.Sleep(goneReportTime)
}

func (v *VM) shutdown() policy.Shutdown { return policy.Shutdown{GracePeriod: v.conf.GracePeriod} }

// goneReportTime is how long drain waits for the Gone phase to reach the control group. It
// suffices on a working network.
const goneReportTime = 60 * time.Millisecond
