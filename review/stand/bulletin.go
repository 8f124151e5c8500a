package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bulletin is the discovery service: it keeps numbered events and serves them as server-sent events, with a
// comment every second.
type bulletin struct {
	w       *world
	addr    string
	mu      sync.Mutex
	events  []string // the event with the number i+1
	changed chan struct{}
}

func startBulletin(w *world, entries ...string) (*bulletin, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bulletin{w: w, addr: listener.Addr().String(), changed: make(chan struct{})}
	b.publish(true, entries...)
	go http.Serve(listener, b) //nolint:errcheck // ends with the process
	return b, nil
}

// publish adds an event: the whole list, or what has changed.
func (b *bulletin) publish(all bool, entries ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := len(b.events) + 1
	event := fmt.Sprintf(`{"no":%d,"roster":{"rev":%d,"all":%v,"targets":[%s]}}`, number, number, all, strings.Join(entries, ","))
	b.events = append(b.events, event)
	close(b.changed)
	b.changed = make(chan struct{})
	b.w.note("bulletin: %s", event)
}

func (b *bulletin) known() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(b.events), strings.Join(b.events, ","))
}

// after returns the events that follow the given number, and a channel that is closed with the next one.
func (b *bulletin) after(number int) ([]string, chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.events[min(number, len(b.events)):], b.changed
}

func (b *bulletin) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	flusher := rw.(http.Flusher)
	flusher.Flush()
	for {
		events, changed := b.after(last)
		for _, event := range events {
			last++
			fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", last, event)
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-time.After(time.Second):
			fmt.Fprint(rw, ": \n\n")
		case <-r.Context().Done():
			return
		}
	}
}
