//go:build review

// Command 1 is the script of case 1: a control VM that the group has removed founds a second
// group. See claim.txt.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"time"

	"pearmoor/internal/route"
	"pearmoor/review/tier"
)

const (
	disks, others = 4, 4 // 4 zones; the machines with a disk come first
	freeze        = 3500 * time.Millisecond
	contact       = 4 * time.Second
	ackTime       = 5 * time.Second
	applyTime     = 3 * time.Second
	host          = "pupu76.example"
	service       = "ledger-desk"
)

func main() { os.Exit(run()) }

func run() int {
	folder, root := os.Args[1], os.Args[2]
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := tier.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	t, err := tier.New(root, rec, disks, others)
	if err != nil {
		rec.Say("could not run: %v", err)
		return 2
	}
	defer t.Close()
	code, err := play(t, trouble)
	if err != nil {
		rec.Say("could not run: %v", err)
		return 2
	}
	return code
}

func newRoute(name, prefix string) route.Route {
	return route.Route{
		Name: name, Host: host, Prefix: prefix, Repeatable: true, Timeout: 4 * time.Second, TargetLatency: 400 * time.Millisecond,
		Priority: 2, Service: service, MaxAttempts: 2,
	}
}

func configuration(version uint64, added ...string) []byte {
	routes := []route.Route{newRoute("r-first", "/first/")}
	for _, a := range added {
		routes = append(routes, newRoute("r-"+a, "/"+a+"/"))
	}
	return tier.Configuration(version, []string{service}, 49, routes)
}

func play(t *tier.Tier, trouble bool) (int, error) {
	for i := range 4 {
		zone := t.VMs[i].Zone
		if err := t.StartLeaf(&tier.Leaf{ID: fmt.Sprintf("i-%d", i+1), Service: service, Zone: zone, Slots: 4, Queue: 6, Work: 20 * time.Millisecond, MaxConns: 49}); err != nil {
			return 2, err
		}
	}
	rec, core, away := t.Record, t.VMs[:disks], t.VMs[disks-1]
	if err := t.StartAll(core[:3]); err != nil {
		return 2, err
	}
	time.Sleep(time.Second)
	if _, err := t.Put(1, configuration(1), 20*time.Second, core[0], core[1]); err != nil {
		return 2, err
	}
	if err := t.WaitReady(20 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(contact) // the core has been stable for contact
	if _, err := t.Put(2, configuration(2, "second"), 10*time.Second, core[0], core[1]); err != nil {
		return 2, err
	}
	if trouble {
		// Planned work: the settings name other seeds. bootstrap is true at the first start only.
		seeds := []*tier.VM{away, t.VMs[disks], t.VMs[disks+1]}
		for _, vm := range t.VMs {
			if err := vm.WriteSettings(seeds, false); err != nil {
				return 2, err
			}
			_ = vm.Signal(syscall.SIGHUP)
		}
		rec.Say("platform: the settings name other seeds: %s %s %s", seeds[0].Name, seeds[1].Name, seeds[2].Name)
		time.Sleep(3 * time.Second)
		rec.Say("trouble: %s freezes for %v", away.Name, freeze)
		_ = away.Signal(syscall.SIGSTOP)
		time.Sleep(freeze)
		_ = away.Signal(syscall.SIGCONT)
		rec.Line("trouble: %s wakes", away.Name)
	}
	time.Sleep(2 * contact) // all machines are in touch again, and past catch-up-s

	// The operator changes the configuration, at two of the machines that serve control.
	if _, err := t.Put(3, configuration(3, "second", "third"), ackTime, core[0], core[1], core[2]); err != nil {
		return 2, err
	}
	time.Sleep(time.Second)
	sent := configuration(4, "second", "third", "fourth")
	acked, err := t.Put(4, sent, ackTime, away, core[1], core[2])
	if err != nil {
		return 2, err
	}
	time.Sleep(time.Until(acked.Add(applyTime + time.Second)))

	broken := false
	// CONFIG: any machine answers a read that was sent later than config-apply-ms after an
	// acknowledgement with an older version.
	for _, vm := range t.VMs {
		version, body := t.Read(vm)
		switch {
		case version == 0: // a 5xx or no response is no break
		case version < 4:
			rec.Say("CONFIG broken: version 4 was acknowledged %.1f s before; %s answers a read with version %d", time.Since(acked).Seconds(), vm.Name, version)
			broken = true
		case !same(body, sent):
			rec.Say("CONFIG broken: what %s answers is not what was sent as version 4", vm.Name)
			broken = true
		}
	}
	// CONFIG: a request is refused with 404 though the route is there, by a machine in touch.
	for _, vm := range t.VMs {
		id := fmt.Sprintf("a-%s", vm.Name)
		status := request(vm, id, "/fourth/x")
		rec.Line("client: %s GET /fourth/x to %s: %d", id, vm.Name, status)
		if status == http.StatusNotFound {
			rec.Say("CONFIG broken: the route /fourth/ was acknowledged %.1f s before; %s answers 404", time.Since(acked).Seconds(), vm.Name)
			broken = true
		}
	}
	// CONFIG: read back at the end, for longer than contact, it is older than the newest
	// acknowledged version.
	newest := uint64(0)
	for end := time.Now().Add(contact + time.Second); time.Now().Before(end); {
		for _, vm := range t.VMs {
			version, _ := t.Read(vm)
			newest = max(newest, version)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if newest < 4 {
		rec.Say("CONFIG broken: version 4 was acknowledged; read back at the end at all VMs for %v it is %d", contact+time.Second, newest)
		broken = true
	}
	if broken {
		return 1, nil
	}
	rec.Say("held")
	return 0, nil
}

func same(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

func request(vm *tier.VM, id, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+vm.EdgeAddr()+path, bytes.NewReader(nil))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set(tier.Dialect.RequestID, id)
	req.Header.Set(tier.Dialect.Deadline, "4000")
	resp, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
