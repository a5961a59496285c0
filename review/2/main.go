//go:build review

// Command 2 is the script of case 2: a late extra answer is taken for the refusal of a request
// that runs. See claim.txt.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/internal/route"
	"pearmoor/review/tier"
)

const (
	disks, others = 4, 4
	host          = "pupu76.example"
	services      = 20
	leafs         = 2 // of each service
	slots, queue  = 2, 2
	work          = 90 * time.Millisecond
	deadline      = 4 * time.Second
	aim           = time.Second
	// The limits of the site file for garble with late extra answers: the share of the leafs,
	// the share of their answers, and for how long at a time.
	garbleShare, garbleX = 0.6, 0.03
	garbleFor            = 5 * time.Second
	garbleTimes          = 10
	garblePause          = 3 * time.Second
	// Clients come together, so that leafs are full for some tens of milliseconds each time.
	clients = 9 * services
	period  = 300 * time.Millisecond
	spread  = 15 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	folder, root := os.Args[1], os.Args[2]
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
	code, err := play(t, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.Say("could not run: %v", err)
		return 2
	}
	return code
}

// attempt is one attempt of a client and its final answer, status 0 for none.
type attempt struct {
	id     string
	status int
}

func play(t *tier.Tier, trouble bool) (int, error) {
	rec := t.Record
	var garbling atomic.Bool
	var list []*tier.Leaf
	var names []string
	var routes []route.Route
	for i := range services {
		names = append(names, fmt.Sprintf("pay-%d", i))
		routes = append(routes, route.Route{
			Name: "r-" + names[i], Host: host, Prefix: "/" + names[i] + "/", Timeout: deadline, TargetLatency: aim,
			Priority: 2, Service: names[i], MaxAttempts: 2,
		})
	}
	for i := range services * leafs {
		l := &tier.Leaf{ID: fmt.Sprintf("i-%d", i+1), Service: names[i/leafs], Zone: t.VMs[i%leafs].Zone, Slots: slots, Queue: queue, Work: work, MaxConns: 28}
		if float64(i) < garbleShare*services*leafs-1 { // no more than the share
			l.Extra = func() bool { return garbling.Load() && rand.Float64() < garbleX }
		}
		if err := t.StartLeaf(l); err != nil {
			return 2, err
		}
		list = append(list, l)
	}
	if err := t.StartAll(t.VMs[:3]); err != nil {
		return 2, err
	}
	time.Sleep(time.Second)
	if _, err := t.Put(1, tier.Configuration(1, names, 28, routes), 20*time.Second, t.VMs[0], t.VMs[1]); err != nil {
		return 2, err
	}
	if err := t.WaitReady(20 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	var attempts []attempt
	stop := make(chan struct{})
	var wg sync.WaitGroup
	began := time.Now()
	for i := range clients {
		wg.Go(func() {
			c := &client{vm: t.VMs[i/services%len(t.VMs)], service: names[i%services], rec: rec}
			defer c.close()
			for n := 0; ; n++ {
				next := period - time.Since(began)%period
				select {
				case <-stop:
					return
				case <-time.After(next + rand.N(spread)):
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				status := c.post(id)
				mu.Lock()
				attempts = append(attempts, attempt{id, status})
				mu.Unlock()
			}
		})
	}
	for range garbleTimes {
		if trouble {
			rec.Say("trouble: %.0f%% of the leafs garble %.0f%% of their answers for %v", 100*garbleShare, 100*garbleX, garbleFor)
			garbling.Store(true)
		}
		time.Sleep(garbleFor)
		garbling.Store(false)
		time.Sleep(garblePause)
	}
	close(stop)
	wg.Wait()
	time.Sleep(2 * time.Second) // whatever runs later would show

	runs := make(map[string]int)
	answers, extras := int64(0), int64(0)
	for _, l := range list {
		for id, n := range l.Runs() {
			runs[id] += n
		}
		answers, extras = answers+l.Answers.Load(), extras+l.Extras.Load()
	}
	byStatus := make(map[int]int)
	twice, refused := 0, 0
	for _, a := range attempts {
		byStatus[a.status]++
		if runs[a.id] > 1 {
			rec.Say("TWICE broken: %s ran %d times; it was answered %d", a.id, runs[a.id], a.status)
			twice++
		}
		switch a.status {
		case 429, 503, 408, 421:
			if runs[a.id] > 0 {
				rec.Say("REFUSED broken: %s was answered %d and ran %d times", a.id, a.status, runs[a.id])
				refused++
			}
		}
	}
	rec.Say("attempts: %d, answers by status: %v; answers of leafs: %d, late extra ones: %d; ran twice: %d, refused though run: %d", len(attempts), byStatus, answers, extras, twice, refused)
	if twice > 0 {
		return 1, nil
	}
	rec.Say("held")
	return 0, nil
}

// client keeps one connection open for its requests.
type client struct {
	vm      *tier.VM
	service string
	rec     *tier.Record
	conn    net.Conn
	in      *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// post makes one attempt and returns the status of its answer, 0 for none. It does not retry:
// each attempt is a request of its own.
func (c *client) post(id string) int {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.vm.EdgeAddr(), time.Second)
		if err != nil {
			c.rec.Line("client: %s to %s: no connection: %v", id, c.vm.Name, err)
			return 0
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	body := fmt.Sprintf("amount of %s", id)
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /%s/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		c.service, id, host, tier.Dialect.RequestID, id, tier.Dialect.Deadline, deadline.Milliseconds(), len(body), body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	c.rec.Line("client: %s POST /%s/%s to %s", id, c.service, id, c.vm.Name)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		c.close()
		c.rec.Line("client: %s: connection lost: %v", id, err)
		return 0
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		c.close()
		c.rec.Line("client: %s: no whole answer: %v", id, err)
		return 0
	}
	c.rec.Line("client: %s answered %d", id, resp.StatusCode)
	if resp.Close {
		c.close()
	}
	return resp.StatusCode
}
