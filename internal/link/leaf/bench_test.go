package leaf

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// benchLeafEnv makes the test binary a leaf for benchmarks: in a process of its
// own, so that the CPU time measured is that of the sending side alone.
const benchLeafEnv = "PEARMOOR_BENCH_LEAF"

func runBenchLeaf() {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(lis.Addr())
	mux := http.NewServeMux()
	mux.HandleFunc(contract.LeafQueryPath, func(w http.ResponseWriter, r *http.Request) {
		var q contract.LeafRequest
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply := replyTo(&q)
		for i := range 10 {
			reply.Hits = append(reply.Hits, contract.Hit{ID: fmt.Sprint(i), Score: 0.5, Data: json.RawMessage(`{"title":"letter","box":17}`)})
		}
		json.NewEncoder(w).Encode(reply)
	})
	go http.Serve(lis, mux)
	io.Copy(io.Discard, os.Stdin) // closed by the process that measures
}

func startBenchLeaf(b *testing.B) settings.Leaf {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), benchLeafEnv+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { in.Close(); cmd.Wait() })
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return settings.Leaf{Name: "a", Addr: strings.TrimSpace(addr)}
}

// cpuTime is the processor time of this process so far.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// bareExchange is what a plain net/http client does for the same request.
func bareExchange(c *http.Client, url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	q := request("1")
	q.DeadlineMS = 60_000
	body, err := json.Marshal(q)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var reply contract.LeafReply
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, &reply)
}

// BenchmarkBare and BenchmarkSend are one request each way, for allocations and
// profiles; BenchmarkRatio pairs them.
func BenchmarkBare(b *testing.B) {
	bare, _ := exchanges(b, startBenchLeaf(b), 1)
	b.ReportAllocs()
	repeat(b, 1, b.N, bare)
}

func BenchmarkSend(b *testing.B) {
	_, send := exchanges(b, startBenchLeaf(b), 1)
	b.ReportAllocs()
	repeat(b, 1, b.N, send)
}

// batch is how many requests go one way before the other has its turn: short,
// so that other load on the machine falls on both.
const batch = 200

// BenchmarkRatio compares the processor time of one request through gate and
// sender with that of a bare net/http client, in turns, against a leaf in
// another process.
func BenchmarkRatio(b *testing.B) {
	leaf := startBenchLeaf(b)
	for _, workers := range []int{1, 8} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			bare, send := exchanges(b, leaf, workers)
			var cpu [2]time.Duration
			done := 0
			for done < b.N {
				n := min(batch, b.N-done)
				for i, once := range []func() error{bare, send} {
					begin := cpuTime()
					repeat(b, workers, n, once)
					cpu[i] += cpuTime() - begin
				}
				done += n
			}
			perOp := func(d time.Duration) float64 { return d.Seconds() * 1e6 / float64(b.N) }
			b.ReportMetric(perOp(cpu[0]), "bare-cpu-us/op")
			b.ReportMetric(perOp(cpu[1]), "send-cpu-us/op")
			b.ReportMetric(float64(cpu[1])/float64(cpu[0]), "send/bare")
		})
	}
}

// exchanges returns one request through a bare client and through a sender.
func exchanges(b *testing.B, leaf settings.Leaf, workers int) (bare, send func() error) {
	tr := &http.Transport{MaxConnsPerHost: workers, MaxIdleConnsPerHost: workers}
	b.Cleanup(tr.CloseIdleConnections)
	c := &http.Client{Transport: tr}
	url := "http://" + leaf.Addr + contract.LeafQueryPath
	r := newRig(b, leaf, workers, Link{Conns: workers})
	bare = func() error { return bareExchange(c, url) }
	send = func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := r.send(ctx, b, "1")
		return err
	}
	return bare, send
}

// repeat runs once n times on some workers.
func repeat(b *testing.B, workers, n int, once func() error) {
	work := make(chan struct{}, n)
	for range n {
		work <- struct{}{}
	}
	close(work)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range work {
				if err := once(); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
}
