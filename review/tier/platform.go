package tier

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// Platform is a stand-in of the platform's list of leafs. Its list does not lag.
type Platform struct {
	lis    net.Listener
	server *http.Server
	mu     sync.Mutex
	leafs  []*Leaf
}

func newPlatform(rec *Record) (*Platform, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{lis: lis}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.instances)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(lis) }()
	return p, nil
}

// Addr returns the address of the list.
func (p *Platform) Addr() string { return p.lis.Addr().String() }

// Add lists a leaf.
func (p *Platform) Add(l *Leaf) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leafs = append(p.leafs, l)
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []any{}
	for _, l := range p.leafs {
		if z := r.URL.Query().Get("zone"); z != "" && z != l.Zone {
			continue
		}
		list = append(list, map[string]any{
			"id": l.ID, "service": l.Service, "address": l.Addr(), "zone": l.Zone, "version": "v1", "slots": l.Slots,
			"state": "ready", "warmup-left-ms": 0,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next-token": nil})
}

// Close stops the list and all leafs.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.leafs {
		l.Close()
	}
}
