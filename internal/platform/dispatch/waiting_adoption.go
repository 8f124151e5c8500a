package dispatch

import (
	"slices"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

const (
	// waitingAdoptionRetention is how long an adoption request waits for its node to be listed.
	waitingAdoptionRetention = terminatedNodeRetention
	// waitingAdoptionDivisor limits the adoption requests that wait to this part of all tasks.
	waitingAdoptionDivisor = 8
	// waitingAdoptionConnDivisor limits those of one client connection to this part of all that may wait.
	waitingAdoptionConnDivisor = 4
)

// waitingAdoption is an adoption request that names a node which discovery has not listed yet.
type waitingAdoption struct {
	client    clientConn // client is a copy with the ID and the address of the connection, which may be closed.
	message   protocol.Message
	parsed    parsedRequest
	expiresAt placer.Seconds
}

// waitingAdoptions contains adoption requests that arrived while discovery could not be reached, the oldest first.
// A client hands over a task that runs, so an answer that it has failed would be wrong.
type waitingAdoptions struct {
	*sharedState
	requests []waitingAdoption
}

// add adds an adoption request. It ignores the request if it waits already, or if too many wait.
func (w *waitingAdoptions) add(client *clientConn, msg *protocol.Message, parsed parsedRequest) {
	w.remove(func(waiting *waitingAdoption) bool { return waiting.expiresAt <= w.now })
	limit := w.limits.Tasks / waitingAdoptionDivisor
	ofConn := 0
	for i := range w.requests {
		if w.requests[i].message.ID == msg.ID {
			return
		}
		if w.requests[i].client.id == client.id {
			ofConn++
		}
	}
	if len(w.requests) >= limit || ofConn >= limit/waitingAdoptionConnDivisor {
		w.counts.AdoptionsIgnored++
		return
	}
	client.lastPlacedAt = w.now // The connection is kept like that of an adopted task.
	w.requests = append(w.requests, waitingAdoption{
		client:    clientConn{id: client.id, address: client.address},
		message:   identifyingPart(msg),
		parsed:    parsed,
		expiresAt: w.now + waitingAdoptionRetention,
	})
}

// forget removes the request with the given ID, whose client has stopped the task.
func (w *waitingAdoptions) forget(id protocol.ID) {
	w.remove(func(waiting *waitingAdoption) bool { return waiting.message.ID == id })
}

// takeListed removes and returns the requests whose nodes are in the registry, and drops those that have expired.
func (w *waitingAdoptions) takeListed(nodes *nodeRegistry) (listed []waitingAdoption) {
	w.remove(func(waiting *waitingAdoption) bool {
		if waiting.expiresAt <= w.now {
			return true
		}
		isListed := nodes.getByUID(waiting.parsed.adoptedFromUID) != nil
		if isListed {
			listed = append(listed, *waiting)
		}
		return isListed
	})
	return listed
}

func (w *waitingAdoptions) remove(mustGo func(*waitingAdoption) bool) {
	w.requests = slices.DeleteFunc(w.requests, func(waiting waitingAdoption) bool { return mustGo(&waiting) })
}
