package entryvm

import (
	"context"

	"k8s.io/klog/v2"

	"pearmoor/internal/route"
)

// organisation returns the organisation with the given name in the configuration in use.
func (v *VM) organisation(name string) (*route.Organisation, bool) {
	if table := v.engine.Table(); table != nil {
		return table.Organisation(name)
	}
	return nil, false
}

// enableQuotas starts the maintenance of quotas with the first table that requires keys. Tiers
// without organisations spend nothing on it. It must not be called concurrently.
func (v *VM) enableQuotas(table *route.Table) {
	if !table.RequiresKeys() {
		return
	}
	select {
	case <-v.quotasNeeded:
	default:
		close(v.quotasNeeded)
		klog.Infof("entry: organisations are in use release=%d", table.Number)
	}
}

// runQuotas maintains this VM's parts of the quotas until ctx ends.
func (v *VM) runQuotas(ctx context.Context) {
	select {
	case <-v.quotasNeeded:
		v.quotas.Run(ctx)
	case <-ctx.Done():
	}
}
