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

// benchLeafEnv makes the test binary run as a leaf for benchmarks. The leaf runs in a separate
// process so that the measured CPU time is that of the sending side alone.
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
	io.Copy(io.Discard, os.Stdin) // until the benchmark process closes the pipe
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

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// plainExchange performs the same request with a plain net/http client.
func plainExchange(c *http.Client, url string) error {
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

// BenchmarkBare measures one request through a plain net/http client and BenchmarkSend one
// through a Sender, for allocations and profiles. BenchmarkRatio compares the two.
func BenchmarkBare(b *testing.B) {
	plain, _ := newExchangeFuncs(b, startBenchLeaf(b), 1)
	b.ReportAllocs()
	runConcurrently(b, 1, b.N, plain)
}

func BenchmarkSend(b *testing.B) {
	_, send := newExchangeFuncs(b, startBenchLeaf(b), 1)
	b.ReportAllocs()
	runConcurrently(b, 1, b.N, send)
}

// batchSize is the number of requests before BenchmarkRatio switches between the two clients.
// It is small so that other load on the machine affects both equally.
const batchSize = 200

// BenchmarkRatio compares the CPU time of one request through gate and sender with that of a
// plain net/http client. The two alternate, against a leaf in another process.
func BenchmarkRatio(b *testing.B) {
	leaf := startBenchLeaf(b)
	for _, workers := range []int{1, 8} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			plain, send := newExchangeFuncs(b, leaf, workers)
			var cpu [2]time.Duration
			done := 0
			for done < b.N {
				n := min(batchSize, b.N-done)
				for i, once := range []func() error{plain, send} {
					begin := cpuTime()
					runConcurrently(b, workers, n, once)
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

// newExchangeFuncs returns functions that perform one request, through a plain net/http client
// and through a Sender.
func newExchangeFuncs(b *testing.B, leaf settings.Leaf, workers int) (plain, send func() error) {
	tr := &http.Transport{MaxConnsPerHost: workers, MaxIdleConnsPerHost: workers}
	b.Cleanup(tr.CloseIdleConnections)
	c := &http.Client{Transport: tr}
	url := "http://" + leaf.Addr + contract.LeafQueryPath
	r := newFixture(b, leaf, workers, ConnConfig{MaxConns: workers})
	plain = func() error { return plainExchange(c, url) }
	send = func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := r.send(ctx, b, "1")
		return err
	}
	return plain, send
}

// runConcurrently calls once n times from the given number of goroutines.
func runConcurrently(b *testing.B, workers, n int, once func() error) {
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
