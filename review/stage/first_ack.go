//go:build reviewstage

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// diskMachines and diskLosses are those of the grown deployments: six machines with a disk, of
	// which two may be lost at the same time.
	diskMachines = 6
	diskLosses   = 2
	founders     = 3 // machines that the seeds name
	// lostFor is how long the machines are dark. lostLimit is how long after their return the
	// acknowledged configuration is waited for: catch-up-s, recover-s and the time of the last reads, and some more.
	lostFor   = 3 * time.Second
	lostLimit = 40 * time.Second
)

// playFirstAck starts the system for the first time and sends the first configuration. With
// trouble the machine that has acknowledged it and one more lose their disks right after. What was
// acknowledged must be read back.
func playFirstAck(s *stage) (bool, error) {
	s.disks, s.tolerated = make([]bool, diskMachines), diskLosses
	for i := range s.disks {
		s.disks[i] = true
	}
	for name, v := range map[string]any{
		wire["contact"]: 5000, "ack-ms": 6000, "catch-up-s": 6, "drain-ms": 4000, "config-apply-ms": 4000, "max-skew-ms": 15000, "retry-burst": 218, "recover-s": 15,
	} {
		s.bounds[name] = v
	}
	if _, err := s.startLeaf("ledger", zone(0), answerShort); err != nil {
		return false, err
	}
	if err := s.startMachines(); err != nil {
		return false, err
	}
	conf := map[string]any{
		"version": 7, "services": []any{service("ledger")}, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "r-ledger", "host": letterHost, wire["prefix"]: letterPrefix, "type": "idempotent", "timeout-ms": 4000,
			wire["aim"]: 400, "priority": 2, "service": "ledger", "max-attempts": 2,
		}},
	}
	if err := s.put(conf, 20*time.Second); err != nil {
		return false, err
	}
	if s.trouble {
		lost := []*machine{s.machines[s.ackedBy], s.machines[(s.ackedBy+1)%founders]}
		for _, m := range lost {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range lost {
			<-m.done
			if err := os.RemoveAll(filepath.Join(s.dir, fmt.Sprint("data-", m.index))); err != nil {
				return false, err
			}
			s.note("machine %d has lost its disk", m.index+1)
		}
		time.Sleep(lostFor)
		for _, m := range lost {
			if err := m.start(false); err != nil {
				return false, err
			}
			s.note("machine %d is back with an empty disk, bootstrap is false", m.index+1)
		}
	}
	read := false
	for end := time.Now().Add(lostLimit); !read && time.Now().Before(end); {
		read = s.readBack()
	}
	answers := map[int]int{}
	for k := range 30 {
		answers[s.fetchShort(k%s.size())]++
		time.Sleep(50 * time.Millisecond)
	}
	s.note("read back: %v; answers to 30 requests by status: %v", read, answers)
	if !read {
		s.note("LOST: all machines run, and the configuration that was acknowledged is gone")
	}
	return !read, nil
}
