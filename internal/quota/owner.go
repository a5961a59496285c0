package quota

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
	"pearmoor/internal/relay"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// maxTakeCount bounds the requests of one call.
const maxTakeCount = 1 << 16

// owner keeps the buckets of the places that this daemon owns. It implements
// wire.DRPCQuotaServer.
type owner struct {
	cfg Config

	mu     sync.Mutex
	places map[string]*place // by organisation; only places owned under the view last checked
	held   bool              // the lease was held at the last look at the view
	// leaseEnd and epochs are those of the view at the last look. since is the time from which
	// the lease was held and the epochs were the same.
	leaseEnd vm.Instant
	epochs   epochs
	since    vm.Instant
}

// epochs identifies the memberships of a view.
type epochs struct{ settled, pending uint64 }

func (e epochs) newest() uint64 { return max(e.settled, e.pending) }

// coverSince reports whether e contains every epoch after known up to its newest one.
func (e epochs) coverSince(known uint64) bool {
	if e.newest() < known || e.newest()-known > 2 {
		return false
	}
	for epoch := known + 1; epoch <= e.newest(); epoch++ {
		if epoch != e.settled && epoch != e.pending {
			return false
		}
	}
	return true
}

// place is the place of one organisation in this daemon's failure domain.
type place struct {
	id     uint64 // identifies the bucket, also between runs of the daemon
	bucket policy.QuotaBucket
	// The share of the bucket was computed for these.
	epochs      epochs
	rate, burst float64
}

func newOwner(cfg Config) *owner { return &owner{cfg: cfg, places: make(map[string]*place)} }

// observe looks at the view and reports whether the daemon may own places now. It drops all
// buckets if the daemon did not hold its lease all the time since the last look, or may not have.
// The caller must hold o.mu.
func (o *owner) observe(view *relay.View, now vm.Instant) bool {
	holds := view != nil && view.Settled != nil && view.HoldsLease(now)
	if !holds || !o.held || now >= o.leaseEnd {
		clear(o.places)
		o.since = now
	}
	o.held = holds
	if !holds {
		return false
	}
	if current := epochsOf(view); current != o.epochs {
		o.epochs, o.since = current, now
	}
	o.leaseEnd = view.LeaseEnd
	return true
}

func epochsOf(view *relay.View) epochs {
	e := epochs{settled: view.Settled.Epoch}
	if view.Pending != nil {
		e.pending = view.Pending.Epoch
	}
	return e
}

// currentPlace returns the place of an organisation, or nil if this daemon does not own it. The
// caller must hold o.mu and have called observe with the same view and time.
func (o *owner) currentPlace(org *route.Organisation, view *relay.View, now vm.Instant) *place {
	p := o.places[org.Name]
	if p != nil && p.epochs == o.epochs && p.rate == org.Rate && p.burst == org.Burst {
		return p
	}
	share, ok := o.share(org, view)
	if !ok {
		delete(o.places, org.Name)
		return nil
	}
	// Another daemon may have owned the place under an epoch that this one has not seen.
	if p == nil || !o.epochs.coverSince(p.epochs.newest()) {
		p = &place{id: rand.Uint64(), bucket: policy.NewQuotaBucket(share, o.since)}
		o.places[org.Name] = p
	}
	p.bucket.SetShare(share, now)
	p.epochs, p.rate, p.burst = o.epochs, org.Rate, org.Burst
	return p
}

// share returns the share of this daemon's place, and false if it has none. While a new membership
// is being settled, the daemon needs the place in both and has the smaller one of the shares.
//
// The newest membership must contain this run. The settled one before it may contain an earlier
// run, which has ended: the place then passes on at once.
func (o *owner) share(org *route.Organisation, view *relay.View) (policy.QuotaShare, bool) {
	self := o.cfg.Self()
	share, ok := o.shareIn(org, view.Membership(), func(m *vm.Member) bool { return m.SameIncarnation(self) })
	if ok && view.Pending != nil {
		var settled policy.QuotaShare
		settled, ok = o.shareIn(org, view.Settled, func(m *vm.Member) bool {
			return m.Name == self.Name && m.Incarnation <= self.Incarnation
		})
		share = share.Min(settled)
	}
	return share, ok
}

// shareIn returns the share of one place in a membership if isSelf accepts one of the owners.
func (o *owner) shareIn(org *route.Organisation, ms *vm.Membership, isSelf func(*vm.Member) bool) (policy.QuotaShare, bool) {
	owners, share := placesOf(org, ms, o.cfg.Limits)
	if !slices.ContainsFunc(owners, isSelf) {
		return policy.QuotaShare{}, false
	}
	return share, true
}

// placesOf returns the owners of the places of an organisation that have a share, and the share.
func placesOf(org *route.Organisation, ms *vm.Membership, l policy.QuotaLimits) ([]*vm.Member, policy.QuotaShare) {
	owners := policy.QuotaOwners(org.Name, ms)
	share, used := policy.QuotaShares(org.Rate, org.Burst, l, len(owners))
	return owners[:used], share
}

// Take implements wire.DRPCQuotaServer.
func (o *owner) Take(_ context.Context, req *wire.TakeRequest) (*wire.TakeReply, error) {
	n := min(max(int(req.GetCount()), 1), maxTakeCount)
	org, ok := o.cfg.Organisation(req.GetOrganisation())
	if !ok {
		ownerNotOwner.Inc(1)
		return &wire.TakeReply{NotOwner: true}, nil
	}
	if org.Rate <= 0 { // the asking daemon has another configuration
		return &wire.TakeReply{Admitted: uint32(n)}, nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// The clock is read before the view: a pause between the two must not add tokens for a time
	// at which the daemon may have lost the place.
	now := o.cfg.Clock()
	view := o.cfg.View()
	var p *place
	if o.observe(view, now) {
		p = o.currentPlace(org, view, now)
	}
	if p == nil {
		ownerNotOwner.Inc(1)
		return &wire.TakeReply{NotOwner: true}, nil
	}
	granted := p.bucket.Take(n, now)
	reply := &wire.TakeReply{Admitted: uint32(granted), Bucket: p.id, GrantedAt: uint64(now)}
	ownerGranted.Inc(int64(granted))
	if granted < n {
		ownerRefused.Inc(int64(n - granted))
		reply.RetryAfterUs = microseconds(p.bucket.Wait(now))
		reply.Refused = uint32(p.bucket.Refused(now))
	}
	return reply, nil
}

func microseconds(d time.Duration) uint32 {
	return uint32(min((d+time.Microsecond-1)/time.Microsecond, math.MaxUint32))
}

// GiveBack implements wire.DRPCQuotaServer.
func (o *owner) GiveBack(_ context.Context, req *wire.GiveBackRequest) (*wire.GiveBackReply, error) {
	n := min(max(int(req.GetCount()), 1), maxTakeCount)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Clock()
	o.observe(o.cfg.View(), now)
	if p := o.places[req.GetOrganisation()]; p != nil && p.id == req.GetBucket() {
		p.bucket.GiveBack(n, vm.Instant(req.GetGrantedAt()), now)
	}
	return &wire.GiveBackReply{}, nil
}

// sweep looks at the view, and at each place if the membership has changed since the last sweep,
// so that organisations with few requests keep their buckets through several changes.
func (o *owner) sweep() {
	o.mu.Lock()
	view := o.cfg.View()
	var outdated []string
	if o.observe(view, o.cfg.Clock()) {
		for name, p := range o.places {
			if p.epochs != o.epochs {
				outdated = append(outdated, name)
			}
		}
	}
	o.mu.Unlock()
	for _, name := range outdated {
		org, ok := o.cfg.Organisation(name)
		if !ok {
			continue // dropGone removes it
		}
		// The lock is released between the places so that requests do not wait for all of them.
		o.mu.Lock()
		now := o.cfg.Clock()
		if view := o.cfg.View(); o.observe(view, now) && o.places[name] != nil {
			o.currentPlace(org, view, now)
		}
		o.mu.Unlock()
	}
}

// dropGone removes the buckets of organisations that are not in the configuration. Only a full
// bucket may be removed: one that is made anew may be full at once.
func (o *owner) dropGone() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Clock()
	for name, p := range o.places {
		if _, ok := o.cfg.Organisation(name); !ok && p.bucket.IsFull(now) {
			delete(o.places, name)
		}
	}
}
