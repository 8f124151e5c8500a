package dispatch

// adoptionQuota divides the slots for adopted tasks that no node has confirmed among the clients. Adoption
// requests cannot be checked when they arrive, so a client that names tasks that do not run could otherwise
// leave no slot to the others. While slots are free, every client may use them. When none is free, a client
// takes one from the connection that has the most, of the address that has the most.
type adoptionQuota struct {
	*sharedState
	total     int
	byConn    map[ConnID]*connAdoptions
	byAddress map[string]int
}

// connAdoptions contains the unverified adoptions that a client has requested on one connection.
type connAdoptions struct {
	connID   ConnID
	address  string
	attempts []*Attempt
}

func newAdoptionQuota(shared *sharedState) *adoptionQuota {
	return &adoptionQuota{sharedState: shared, byConn: map[ConnID]*connAdoptions{}, byAddress: map[string]int{}}
}

// reserve reports whether a client may have one more unverified adoption. If no slot is free, displaced is the
// adopted task that the core must drop for it.
func (q *adoptionQuota) reserve(client *clientConn) (displaced *Attempt, ok bool) {
	if q.total < q.limits.UnverifiedAdoptions {
		return nil, true
	}
	largest := q.largestUser()
	ownCount := 0
	if own := q.byConn[client.id]; own != nil {
		ownCount = len(own.attempts)
	}
	sameAddress := largest.address == client.address
	if sameAddress && ownCount+1 >= len(largest.attempts) || !sameAddress && q.byAddress[client.address]+1 >= q.byAddress[largest.address] {
		return nil, false
	}
	return largest.attempts[len(largest.attempts)-1], true
}

// largestUser returns the connection with the most unverified adoptions, of the address that has the most.
func (q *adoptionQuota) largestUser() *connAdoptions {
	var largest *connAdoptions
	for _, user := range q.byConn {
		if largest == nil || q.usesMoreThan(user, largest) {
			largest = user
		}
	}
	return largest
}

func (q *adoptionQuota) usesMoreThan(user, other *connAdoptions) bool {
	if used, otherUsed := q.byAddress[user.address], q.byAddress[other.address]; used != otherUsed {
		return used > otherUsed
	}
	if len(user.attempts) != len(other.attempts) {
		return len(user.attempts) > len(other.attempts)
	}
	return user.connID > other.connID
}

// add counts an unverified adoption of a client.
func (q *adoptionQuota) add(client *clientConn, attempt *Attempt) {
	user := q.byConn[client.id]
	if user == nil {
		user = &connAdoptions{connID: client.id, address: client.address}
		q.byConn[client.id] = user
	}
	attempt.unverifiedOf = user
	attempt.unverifiedIndex = len(user.attempts)
	user.attempts = append(user.attempts, attempt)
	q.byAddress[user.address]++
	q.total++
}

// remove stops counting an adoption that a node has confirmed, or whose task has ended. It does nothing for
// other attempts.
func (q *adoptionQuota) remove(attempt *Attempt) {
	user := attempt.unverifiedOf
	if user == nil {
		return
	}
	attempt.unverifiedOf = nil
	last := user.attempts[len(user.attempts)-1]
	last.unverifiedIndex = attempt.unverifiedIndex
	user.attempts[attempt.unverifiedIndex] = last
	user.attempts = user.attempts[:len(user.attempts)-1]
	if len(user.attempts) == 0 {
		delete(q.byConn, user.connID)
	}
	if q.byAddress[user.address]--; q.byAddress[user.address] == 0 {
		delete(q.byAddress, user.address)
	}
	q.total--
}
