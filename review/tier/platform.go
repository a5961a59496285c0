//go:build review

package tier

import (
	"net"
	"net/http"
	"sync"

	"pearmoor/platform/standin"
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
	mux.HandleFunc("GET "+standin.ListPath, p.list)
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

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []standin.Leaf
	for _, l := range p.leafs {
		out = append(out, standin.Leaf{ID: l.ID, Service: l.Service, Addr: l.Addr(), Domain: l.Zone, Slots: l.Slots, State: standin.Ready})
	}
	page, err := standin.EncodePage(out, "")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(page)
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
