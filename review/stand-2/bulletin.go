package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// rosterEntry is one node in an event of the discovery service.
type rosterEntry struct {
	UID          string     `json:"uid"`
	Endpoint     string     `json:"endpoint"`
	Zone         string     `json:"az"`
	Model        string     `json:"model"`
	PodGroup     int        `json:"pod_group"`
	State        string     `json:"state"`
	CapacityHint int        `json:"capacity_hint"`
	BootMS       int64      `json:"boot_ms"`
	Open         [2]float64 `json:"open"`
}

func rosterEvent(number, revision int, all bool, entries []rosterEntry) map[string]any {
	return map[string]any{"no": number, "roster": map[string]any{"rev": revision, "all": all, "targets": entries}}
}

// bulletin is the discovery service: it writes server-sent events, and a comment every second.
type bulletin struct {
	world  *world
	addr   string
	server *http.Server

	mu     sync.Mutex
	events []string // events[i] has the number i+1.
	wake   chan struct{}
	down   bool
}

// startBulletin starts the discovery service with the given first list.
func (w *world) startBulletin(entries []rosterEntry) *bulletin {
	b := &bulletin{world: w, addr: freeAddress(), wake: make(chan struct{})}
	w.bulletin = b
	b.tell(true, entries)
	b.up()
	return b
}

// up makes the service answer.
func (b *bulletin) up() {
	listener, err := net.Listen("tcp", b.addr)
	if err != nil {
		giveUp("discovery service: %v", err)
	}
	b.mu.Lock()
	b.down = false
	b.mu.Unlock()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func(server *http.Server) { _ = server.Serve(listener) }(b.server)
}

// goDown ends the service: connections are closed and new ones refused.
func (b *bulletin) goDown() {
	b.mu.Lock()
	b.down = true
	b.mu.Unlock()
	_ = b.server.Close()
}

// tell adds an event.
func (b *bulletin) tell(all bool, entries []rosterEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := len(b.events) + 1
	text, _ := json.Marshal(rosterEvent(number, number, all, entries))
	b.events = append(b.events, string(text))
	close(b.wake)
	b.wake = make(chan struct{})
	b.world.logf("discovery", "event %d: %s", number, text)
}

func (b *bulletin) serve(response http.ResponseWriter, request *http.Request) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-ID"))
	b.world.logf("discovery", "%s %s after event %d", request.Method, request.URL.Path, last)
	response.Header().Set("Content-Type", "text/event-stream")
	for {
		b.mu.Lock()
		down, wake := b.down, b.wake
		var pending []string
		if last < len(b.events) {
			pending = b.events[last:]
		}
		first := last + 1
		b.mu.Unlock()
		if down {
			return
		}
		for i, event := range pending {
			fmt.Fprintf(response, "id: %d\ndata: %s\n\n", first+i, event)
		}
		last += len(pending)
		fmt.Fprint(response, ": \n\n")
		_ = http.NewResponseController(response).Flush()
		select {
		case <-wake:
		case <-time.After(time.Second):
		case <-request.Context().Done():
			return
		}
	}
}
