package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// step is a fault or change that happens at the given fraction of the run.
type step struct {
	fraction float64
	name     string
	run      func(ctx context.Context, r *run) error
}

// script lists the steps of a run with faults.
var script = []step{
	{0.05, "two leaves fall silent for a tenth of the run", injectFault(unresponsive, 2, 0.1)},
	{0.15, "four leaves turn slow for a fifth of the run", injectFault(slow, 4, 0.2)},
	{0.25, "a leaf ends and its address goes to another service", reuseAddr},
	{0.35, "a VM without a disk is killed and comes back after a second", killVM},
	{0.45, "five leaves refuse half of their requests for a tenth of the run", injectFault(rejectsRequests, 5, 0.1)},
	{0.55, "another configuration", func(ctx context.Context, r *run) error { return r.tier.pushRelease(ctx) }},
	{0.6, "a leaf leaves and a cold one comes", replaceLeaf},
	{0.7, "five leaves lose answers for a tenth of the run", injectFault(losesAnswers, 5, 0.1)},
	{0.8, "five leaves answer twice for a tenth of the run", injectFault(repeatsAnswers, 5, 0.1)},
}

// scripts maps the values of the flag --faults to steps.
var scripts = map[string][]step{"script": script, "evacuation": evacuationScript}

// runScript performs the steps until ctx is cancelled.
func (r *run) runScript(ctx context.Context, steps []step) {
	began := time.Now()
	for _, s := range steps {
		select {
		case <-time.After(time.Until(began.Add(time.Duration(s.fraction * float64(r.duration))))):
		case <-ctx.Done():
			return
		}
		r.events = append(r.events, event{At: time.Since(began).Seconds(), Description: s.name})
		if err := s.run(ctx, r); err != nil {
			r.events = append(r.events, event{At: time.Since(began).Seconds(), Description: "failed: " + err.Error()})
		}
	}
}

// injectFault returns a step that gives one leaf of each of some random shards a fault for a fraction of the run.
func injectFault(f fault, leaves int, fraction float64) func(context.Context, *run) error {
	return func(_ context.Context, r *run) error {
		for _, i := range rand.Perm(len(r.tier.shards))[:min(leaves, len(r.tier.shards))] {
			l, err := r.randomLeaf(r.tier.shards[i])
			if err != nil {
				return err
			}
			l.fault.Store(int32(f))
			time.AfterFunc(time.Duration(fraction*float64(r.duration)), func() { l.fault.Store(int32(noFault)) })
		}
		return nil
	}
}

func (r *run) randomLeaf(service string) (*leaf, error) {
	all := r.platform.leavesOf(service)
	if len(all) == 0 {
		return nil, errors.Newf("%s has no leaf", service)
	}
	return all[rand.N(len(all))], nil
}

// reuseAddr stops a leaf and starts one of another service at its address before the list shows the change.
func reuseAddr(_ context.Context, r *run) error {
	l, err := r.randomLeaf(r.tier.shards[0])
	if err != nil {
		return err
	}
	addr := l.lis.Addr().String()
	r.platform.removeLeaf(l)
	if _, err := r.platform.startLeaf(r.tier.shards[1], addr, true); err != nil {
		return err
	}
	_, err = r.platform.startLeaf(r.tier.shards[0], "", true)
	return err
}

func killVM(_ context.Context, r *run) error {
	v := r.tier.vms[len(r.tier.vms)-1]
	v.kill()
	time.Sleep(time.Second)
	return v.start()
}

// replaceLeaf removes a leaf as the platform does: it is listed as leaving, still serves for a while, and then stops.
func replaceLeaf(_ context.Context, r *run) error {
	service := r.tier.shards[len(r.tier.shards)-1]
	l, err := r.randomLeaf(service)
	if err != nil {
		return err
	}
	l.leaving.Store(true)
	time.AfterFunc(listLag+3*time.Second, func() { r.platform.removeLeaf(l) })
	_, err = r.platform.startLeaf(service, "", true)
	return err
}
