package entryvm

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/vm"
)

const (
	// moveShare is the part of the grace for which a stopping daemon still takes
	// requests: callers keep its address for a while, and go on using connections
	// that are open.
	moveShare = 0.6
	// endShare is the part of the grace by which the requests in flight must have
	// ended; the rest is for handing leadership over.
	endShare = 0.9
	// finalAnswers is the time that the final answers of requests take that have not
	// ended by then. Of those that a leaf never answers some were sent a moment before
	// the daemon stopped taking any; their callers saw the connection break off.
	finalAnswers = 150 * time.Millisecond
)

// drain is the graceful shutdown. Callers learn from the address list, and from
// each answer on a connection that is open, to go elsewhere. The daemon serves
// them until then, and a request that it has read gets its whole answer.
func (v *VM) drain() {
	began := time.Now()
	v.draining.Store(true)
	v.client.SetPhase(vm.Draining)
	klog.Infof("entry: %s drains", v.conf.Name)
	time.Sleep(time.Duration(moveShare * float64(v.conf.Grace)))
	end := began.Add(time.Duration(endShare * float64(v.conf.Grace)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	defer time.AfterFunc(time.Until(end.Add(-finalAnswers)), v.engine.FinishAll).Stop()
	if err := v.server.Shutdown(ctx); err != nil {
		klog.Warningf("entry: %s cuts off requests in flight: %v", v.conf.Name, err)
	}
	v.client.SetPhase(vm.Gone)
	time.Sleep(farewell)
}

// farewell is what the last word to control takes on a working network.
const farewell = 60 * time.Millisecond
