package dispatch

import (
	"container/list"

	"heathshed/placer"
)

const (
	// maxUnansweredAttempts is the number of unanswered attempts from which the limits of connections follow. A node
	// looks at one attempt at a time, so those of one client delay those of all others.
	maxUnansweredAttempts = 192
	// unansweredDivisor limits one connection: it may have at most this fraction of the unanswered attempts that
	// are left of maxUnansweredAttempts, so 48 if no other connection has any.
	unansweredDivisor = 3
	// minUnansweredAttempts is the number of unanswered attempts that a connection may have in any case.
	minUnansweredAttempts = 4
)

// arrivalQueue holds back new placement requests of client connections that have many unanswered attempts, so that
// one client that sends at full speed does not fill the queues of the nodes. Connections take turns. A request
// that waits for the next attempt does not count, and no attempt is held back after the placer has chosen its node.
// Shortly before its deadline at the latest, a request is passed to the placer, which then answers it.
type arrivalQueue struct {
	*sharedState
	unanswered   int // unanswered is the number of unanswered attempts of all connections.
	byConn       map[ConnID]*connArrivals
	waitingConns *list.List // waitingConns contains the connArrivals with waiting requests, in the order of their turns.
	mayPass      bool       // mayPass is set if an attempt was answered since passNext last found nothing.
}

// connArrivals contains the waiting requests of one client connection, the oldest first.
type connArrivals struct {
	connID     ConnID
	unanswered int        // unanswered is the number of unanswered attempts of the connection.
	waiting    *list.List // The values have the type *waitingArrival.
	turn       *list.Element
}

// waitingArrival is a placement request that the placer does not know yet.
type waitingArrival struct {
	req  *request
	task placer.Task
}

func newArrivalQueue(shared *sharedState) *arrivalQueue {
	return &arrivalQueue{sharedState: shared, byConn: map[ConnID]*connArrivals{}, waitingConns: list.New()}
}

// arrive passes a new placement request to the placer, at once or when its connection may have another attempt.
func (q *arrivalQueue) arrive(req *request, task placer.Task) {
	conn := q.arrivalsOf(req.connID)
	if conn.waiting.Len() == 0 && q.mayStart(conn) {
		q.post(req, task)
		q.forgetIfUnused(conn)
		return
	}
	q.counts.ArrivalsHeldBack++
	arrival := &waitingArrival{req, task}
	req.waitingEntry = conn.waiting.PushBack(arrival)
	latestAt := req.deadline - q.settings.Placer.Attempts.AnswerGrace // The placer can still answer in time.
	req.arrivalTimer = q.timers.Add(latestAt, func() { q.pass(arrival) })
	if conn.turn == nil {
		conn.turn = q.waitingConns.PushBack(conn)
	}
}

// remove removes a request that is no longer open from those that wait.
func (q *arrivalQueue) remove(req *request) {
	if req.waitingEntry == nil {
		return
	}
	conn := q.byConn[req.connID]
	conn.waiting.Remove(req.waitingEntry)
	req.waitingEntry = nil
	if conn.waiting.Len() == 0 {
		q.waitingConns.Remove(conn.turn)
		conn.turn = nil
	}
	q.forgetIfUnused(conn)
}

// attemptStarted counts an attempt that has no answer yet.
func (q *arrivalQueue) attemptStarted(connID ConnID) {
	q.arrivalsOf(connID).unanswered++
	q.unanswered++
}

// attemptAnswered stops counting an attempt.
func (q *arrivalQueue) attemptAnswered(connID ConnID) {
	conn := q.byConn[connID]
	conn.unanswered--
	q.unanswered--
	q.mayPass = true
	q.forgetIfUnused(conn)
}

// passNext passes the next request whose connection may have another attempt to the placer. It returns false if
// there is none. The core calls it after all other events, until it returns false: a request that the placer cannot
// place yet starts no attempt, so the next one may follow.
func (q *arrivalQueue) passNext() bool {
	if !q.mayPass {
		return false
	}
	for range q.waitingConns.Len() {
		turn := q.waitingConns.Front()
		q.waitingConns.MoveToBack(turn)
		if next := turn.Value.(*connArrivals); q.mayStart(next) {
			q.pass(next.waiting.Front().Value.(*waitingArrival))
			return true
		}
	}
	q.mayPass = false
	return false
}

// pass passes a waiting request to the placer.
func (q *arrivalQueue) pass(arrival *waitingArrival) {
	q.timers.Stop(arrival.req.arrivalTimer)
	q.remove(arrival.req)
	q.post(arrival.req, arrival.task)
}

func (q *arrivalQueue) post(req *request, task placer.Task) {
	q.postEvent(placer.Event{Kind: placer.Arrived, TaskID: req.taskID, Task: task})
}

// mayStart reports whether a connection may have one more unanswered attempt.
func (q *arrivalQueue) mayStart(conn *connArrivals) bool {
	share := (maxUnansweredAttempts - q.unanswered) / unansweredDivisor
	return conn.unanswered < max(minUnansweredAttempts, share)
}

func (q *arrivalQueue) arrivalsOf(connID ConnID) *connArrivals {
	conn := q.byConn[connID]
	if conn == nil {
		conn = &connArrivals{connID: connID, waiting: list.New()}
		q.byConn[connID] = conn
	}
	return conn
}

func (q *arrivalQueue) forgetIfUnused(conn *connArrivals) {
	if conn.unanswered == 0 && conn.waiting.Len() == 0 {
		delete(q.byConn, conn.connID)
	}
}
