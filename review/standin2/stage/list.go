package stage

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Instance is an entry of the platform's list.
type Instance struct {
	ID           string  `json:"id"`
	Service      string  `json:"service"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Version      string  `json:"version"`
	Slots        int     `json:"slots"`
	State        string  `json:"state"`
	WarmupLeftMs float64 `json:"warmupLeftMs"`
	// ColdUntil is when the leaf stops being cold. WarmupLeftMs follows from it.
	ColdUntil time.Time `json:"-"`
}

// List is the platform's list of leafs.
type List struct {
	mu        sync.Mutex
	instances []Instance
	listener  net.Listener
	server    *http.Server
	isDown    bool
}

func newList(ip string) (*List, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &List{listener: listener}
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// Address returns the address of the list.
func (l *List) Address() string { return l.listener.Addr().String() }

// Set adds an instance or replaces the one of the same identifier.
func (l *List) Set(instance Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.instances {
		if l.instances[i].ID == instance.ID {
			l.instances[i] = instance
			return
		}
	}
	l.instances = append(l.instances, instance)
}

// Remove takes an instance from the list.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.instances {
		if l.instances[i].ID == id {
			l.instances = append(l.instances[:i], l.instances[i+1:]...)
			return
		}
	}
}

// SetDown sets whether the list answers 503 only.
func (l *List) SetDown(isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = isDown
}

// ServeHTTP serves the whole list, or that of one zone, as one page.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if l.isDown {
		l.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	instances := []Instance{}
	for _, instance := range l.instances {
		instance.WarmupLeftMs = float64(max(0, time.Until(instance.ColdUntil)).Milliseconds())
		if zone := r.URL.Query().Get("zone"); zone == "" || zone == instance.Zone {
			instances = append(instances, instance)
		}
	}
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "nextPageToken": nil})
}

// Close stops the list.
func (l *List) Close() { _ = l.server.Close() }
