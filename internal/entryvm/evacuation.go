package entryvm

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/contract"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

const (
	// orderSettleTime is the pause before an order is sent to the leader. If the order had
	// waited unread, for example while this VM was suspended, its operator has closed the
	// connection in the meantime, and the end of ctx becomes visible during the pause.
	orderSettleTime = 2 * time.Millisecond
	// orderTimeFraction is the fraction of Config.OrderResendTime for which an order is
	// tried.
	orderTimeFraction = 0.4
)

var (
	evacuationsAcked    = metrics.GetOrRegisterCounter("operator.evacuations.acknowledged", metrics.DefaultRegistry)
	evacuationsOutdated = metrics.GetOrRegisterCounter("operator.evacuations.outdated", metrics.DefaultRegistry)
	evacuationsUnclear  = metrics.GetOrRegisterCounter("operator.evacuations.unclear", metrics.DefaultRegistry)
	evacuationAckTimer  = metrics.GetOrRegisterTimer("operator.evacuations.latency", metrics.DefaultRegistry)
	evacuatedDomains    = metrics.GetOrRegisterGauge("entry.evacuated_domains", metrics.DefaultRegistry)
)

var (
	errNoStateYet    = errors.New("entry: this VM does not know the agreed state yet; send the order to another one")
	errOutdatedOrder = errors.New("entry: this VM did not know the newest order for the failure domain; send the order again")
)

// Evacuate carries out an operator's order that the leaves of a failure domain receive no
// requests, or ends that. It returns once the order is committed. A contract.Faults means that
// the order is invalid. After any other error it may be in force or not, and may be repeated.
//
// The order carries the version that this VM knew when it received it. It is not read again
// later: an operator may have given other orders through other VMs meanwhile.
func (v *VM) Evacuate(ctx context.Context, domain string, evacuate bool) error {
	start, view := time.Now(), v.client.Current()
	if !v.mayNameDomain(domain) {
		return contract.Faults{{Field: "failure domain", Value: domain, Why: "no failure domain has this name", Fix: "name one of the tier's failure domains"}}
	}
	if view.Tree == nil {
		return errNoStateYet
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(orderTimeFraction*float64(v.conf.OrderResendTime)))
	defer cancel()
	if !vm.Sleep(ctx, orderSettleTime) {
		return errors.Wrap(ctx.Err(), "entry: the operator has left")
	}
	reply, err := v.sendEvacuation(ctx, newEvacuationRequest(domain, evacuate, view))
	switch {
	case err != nil:
		evacuationsUnclear.Inc(1)
		return err
	case reply.Outdated:
		evacuationsOutdated.Inc(1)
		return errors.Wrapf(errOutdatedOrder, "version=%d newest=%d", view.ConfigVersion, reply.Version)
	}
	evacuationsAcked.Inc(1)
	evacuationAckTimer.UpdateSince(start)
	klog.Infof("operator: evacuation order acknowledged domain=%s evacuate=%v seen=%d version=%d took=%v", domain, evacuate, view.ConfigVersion, reply.Version, time.Since(start))
	return nil
}

func newEvacuationRequest(domain string, evacuate bool, view *relay.View) *wire.EvacuationRequest {
	return &wire.EvacuationRequest{Domain: domain, Evacuate: evacuate, SeenVersion: view.ConfigVersion, Operator: platformOperator, Group: view.Group.Wire()}
}

// sendEvacuation sends an order to the leader until it has answered or ctx ends.
func (v *VM) sendEvacuation(ctx context.Context, req *wire.EvacuationRequest) (reply *wire.EvacuationReply, err error) {
	_, err = v.callLeader(ctx, func(ctx context.Context, c wire.DRPCControlClient) (redirect string, err error) {
		reply, err = c.Evacuate(ctx, req)
		return reply.GetRedirect(), err
	})
	return reply, err
}

// mayNameDomain reports whether a failure domain of the tier may have the name. Only the settings
// name all of them: a VM that has just started knows no leaves, and a domain may have none.
func (v *VM) mayNameDomain(name string) bool {
	if len(v.conf.DomainRegions) == 0 || name == v.conf.Domain {
		return true
	}
	if _, ok := v.conf.DomainRegions[name]; ok {
		return true
	}
	// A domain may be newer than the settings.
	if ms := v.client.Current().Membership(); ms != nil && slices.ContainsFunc(ms.Members, func(m vm.Member) bool { return m.Domain == name }) {
		return true
	}
	return slices.ContainsFunc(v.leafCache.Snapshot().All(), func(l *discovery.Leaf) bool { return l.Domain == name })
}
