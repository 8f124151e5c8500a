package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// requestState is the state of a placement request. The states from requestMigrating on are closed: the client has been told of the end or asked
// for it, and is not told again, unless a node does not confirm a migration.
type requestState uint8

const (
	requestOpen       requestState = iota // without an answer
	requestRunning                        // the task runs
	requestMigrating                      // the client was asked to place the task anew; the node is to confirm that it stopped it
	requestStopping                       // the client knows of the end or asked for it; the node is to confirm that it stopped the task
	requestAnswered                       // rejected or failed
	requestWithdrawn                      // the client no longer waits
	requestTerminated                     // the task ran and has ended
)

// requestTransitions are the legal next states of each state.
var requestTransitions = [...][]requestState{
	requestOpen:       {requestRunning, requestAnswered, requestWithdrawn, requestTerminated},
	requestRunning:    {requestMigrating, requestStopping, requestTerminated},
	requestMigrating:  {requestStopping, requestTerminated},
	requestStopping:   {requestTerminated},
	requestAnswered:   {},
	requestWithdrawn:  {},
	requestTerminated: {},
}

// closed reports whether no answer and no notification of the task's end is due any more.
func (s requestState) closed() bool { return s >= requestMigrating }

// request is one placement request of a client, and after it was answered the running task.
type request struct {
	taskID   placer.TaskID
	message  protocol.Message // as the client sent it
	conn     ConnID
	class    int
	deadline float64
	state    requestState
	attempts []*Attempt
}

// runningAttempt returns the attempt that runs the task, nil if the task does not run.
func (r *request) runningAttempt() *Attempt {
	if last := r.lastAttempt(); last != nil && last.state == attemptRunning {
		return last
	}
	return nil
}

// lastAttempt returns the latest attempt, nil if there is none.
func (r *request) lastAttempt() *Attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return r.attempts[len(r.attempts)-1]
}

// launchMessage returns the request as a node receives it: ID, class, key, description and, if it has one, the idempotency key.
func (r *request) launchMessage() protocol.Message {
	msg := protocol.Message{Kind: protocol.Launch, UID: r.message.UID, ID: r.message.ID, Body: r.message.Body}
	msg.Set(protocol.Class, r.message.Get(protocol.Class))
	msg.Set(protocol.Key, r.message.Get(protocol.Key))
	if r.message.Has(protocol.IdempotencyKey) {
		msg.Set(protocol.IdempotencyKey, r.message.Get(protocol.IdempotencyKey))
	}
	return msg
}

// transition moves a request to its next state. A scheduler in service goes on after an illegal transition; it is counted, and tests require
// that there is none.
func (c *Core) transition(req *request, next requestState) {
	if !slices.Contains(requestTransitions[req.state], next) {
		c.illegalTransitions++
	}
	req.state = next
}

// addRequest enters a request whose message is valid.
func (c *Core) addRequest(conn ConnID, msg *protocol.Message, task *placer.Task, state requestState) *request {
	c.lastTaskID++
	task.ID = c.lastTaskID
	req := &request{
		taskID:   c.lastTaskID,
		message:  *msg,
		conn:     conn,
		class:    task.Class,
		deadline: float64(task.Deadline),
		state:    state,
	}
	c.requests[req.taskID] = req
	c.requestsByID[msg.ID] = req
	return req
}

// openRequest enters a new request and passes it to the placer.
func (c *Core) openRequest(client *clientConn, msg *protocol.Message, task placer.Task) {
	req := c.addRequest(client.id, msg, &task, requestOpen)
	c.openRequests++
	client.openRequests[req] = struct{}{}
	c.postArrival(req, task)
}

// answerRequest gives an open request its final answer, other than that its task runs.
func (c *Core) answerRequest(req *request, answer protocol.Message) {
	if req.state.closed() {
		return
	}
	c.closeRequest(req, requestAnswered)
	c.answerClient(req, answer)
	c.abandonLastAttempt(req, placer.TimedOut)
	c.removeRequest(req)
}

// withdrawRequest ends an open request whose client no longer waits.
func (c *Core) withdrawRequest(req *request) {
	if req.state.closed() {
		return
	}
	c.Counts.Withdrawn++
	c.closeRequest(req, requestWithdrawn)
	c.post(placer.Event{Kind: placer.Withdrawn, TaskID: req.taskID})
	c.abandonLastAttempt(req, placer.Cancelled)
	c.removeRequest(req)
}

// closeRequest moves an open request to a closed state.
func (c *Core) closeRequest(req *request, next requestState) {
	c.transition(req, next)
	c.removeFromOpen(req)
}

// removeFromOpen removes a request from the open ones.
func (c *Core) removeFromOpen(req *request) {
	c.openRequests--
	if client := c.clients[req.conn]; client != nil {
		delete(client.openRequests, req)
	}
}

// removeRequest removes a request that has ended. Its attempts stay for as long as nodes may send messages about them.
func (c *Core) removeRequest(req *request) {
	if c.requestsByID[req.message.ID] == req {
		delete(c.requestsByID, req.message.ID)
	}
	delete(c.requests, req.taskID)
}

// abandonLastAttempt abandons the attempt that waits for its answer, if there is one.
func (c *Core) abandonLastAttempt(req *request, result placer.Result) {
	if last := req.lastAttempt(); last != nil && last.Unanswered() {
		c.abandonAttempt(last, result, false)
	}
}

// InvalidReason is what is wrong with an invalid message. Its values are the words that logs and counters show.
type InvalidReason string

// The reasons why a message is invalid.
const (
	InvalidBody     InvalidReason = "body"      // a launch without a description of the task
	InvalidClass    InvalidReason = "class"     // an unknown class
	InvalidTenant   InvalidReason = "tenant"    // an unknown tenant
	InvalidKey      InvalidReason = "key"       // a key that is not an ID
	InvalidExtras   InvalidReason = "extras"    // missing or malformed extras
	InvalidTimeLeft InvalidReason = "left"      // a time left that is no number or out of range
	InvalidNode     InvalidReason = "at"        // an adoption from a node that is not in the registry
	InvalidIDInUse  InvalidReason = "id in use" // a launch with the ID of another task
	InvalidStop     InvalidReason = "stop"      // a stop for another connection's request
)

// InvalidMessageError is the error of an invalid message.
type InvalidMessageError struct {
	Reason InvalidReason
	Err    error
}

func (e *InvalidMessageError) Error() string { return e.Err.Error() }

// Unwrap returns the error that describes what is invalid.
func (e *InvalidMessageError) Unwrap() error { return e.Err }

func invalidMessage(reason InvalidReason, format string, args ...any) error {
	return &InvalidMessageError{reason, fmt.Errorf(format, args...)}
}

// parsedRequest is what a valid launch message asks for.
type parsedRequest struct {
	task        placer.Task
	adoptedFrom string // UID of the node that already runs the task, "" for a new request
}

func (p *parsedRequest) isAdoption() bool { return p.adoptedFrom != "" }

// maxResourceAmount bounds the cores and the memory of a task.
const maxResourceAmount = 1e9

// parseRequest validates a launch message. The error is an *InvalidMessageError.
func (c *Core) parseRequest(msg *protocol.Message) (parsed parsedRequest, err error) {
	if msg.Body == "" {
		return parsed, invalidMessage(InvalidBody, "launch %s: no body", msg.UID)
	}
	if parsed.task.Class, err = c.parseClass(msg); err != nil {
		return parsed, err
	}
	if parsed.task.Tenant, err = c.parseTenant(msg); err != nil {
		return parsed, err
	}
	if _, err := protocol.ParseID(msg.Get(protocol.Key)); err != nil {
		return parsed, invalidMessage(InvalidKey, "launch %s: key: %w", msg.UID, err)
	}
	resources, err := parsed.parseExtras(msg)
	if err != nil {
		return parsed, err
	}
	if parsed.task.Deadline, err = c.parseDeadline(msg, &parsed); err != nil {
		return parsed, err
	}
	if resources != 2 {
		return parsed, invalidMessage(InvalidExtras, "launch %s: extras %.60q: want cores and memory once each", msg.UID,
			msg.Get(protocol.Extras))
	}
	return parsed, nil
}

func (c *Core) parseClass(msg *protocol.Message) (int, error) {
	name := msg.Get(protocol.Class)
	class := slices.Index(c.settings.Classes, name)
	if class < 0 {
		return 0, invalidMessage(InvalidClass, "launch %s: class %.40q is not known", msg.UID, name)
	}
	return class, nil
}

// parseTenant returns the tenant's index. A message without a tenant is valid where no tenants are configured.
func (c *Core) parseTenant(msg *protocol.Message) (int, error) {
	name := msg.Get(protocol.Tenant)
	if name == "" && len(c.settings.Tenants) == 0 {
		return 0, nil
	}
	tenant := slices.Index(c.settings.Tenants, name)
	if tenant < 0 {
		return 0, invalidMessage(InvalidTenant, "launch %s: tenant %.40q is not known", msg.UID, name)
	}
	return tenant, nil
}

// parseExtras reads the list of name:value pairs and returns how many of them were resources. Unknown names are skipped.
func (p *parsedRequest) parseExtras(msg *protocol.Message) (resources int, err error) {
	for part := range strings.SplitSeq(msg.Get(protocol.Extras), ";") {
		name, value, _ := strings.Cut(part, ":")
		switch name {
		case "cores":
			resources++
			p.task.Cores, err = parseResource(msg, name, value)
		case "memory":
			resources++
			p.task.Memory, err = parseResource(msg, name, value)
		case "again":
			p.task.IsRetry = value == "1"
		case "service":
			p.task.Service, err = parseService(msg, value)
		case "at":
			p.adoptedFrom = value
			if value == "" {
				err = invalidMessage(InvalidExtras, "launch %s: extras: at: no node", msg.UID)
			}
		}
		if err != nil {
			return 0, err
		}
	}
	return resources, nil
}

func parseResource(msg *protocol.Message, name, value string) (float64, error) {
	amount, err := strconv.ParseFloat(value, 64)
	if err != nil || !inRange(amount, maxResourceAmount) {
		return 0, invalidMessage(InvalidExtras, "launch %s: extras: %s %.40q: want a number from 0 to 1e9", msg.UID, name, value)
	}
	return amount, nil
}

func parseService(msg *protocol.Message, value string) (placer.ServiceID, error) {
	id, err := protocol.ParseID(value)
	if err != nil {
		return 0, invalidMessage(InvalidExtras, "launch %s: extras: service: %w", msg.UID, err)
	}
	return placer.ServiceID(id), nil
}

// parseDeadline returns the clock time until which the client waits. It may be at most twice the class's deadline away. For an adoption there
// is no upper limit: no answer is due, and clients give any time there, such as the remaining time of a task without an end.
func (c *Core) parseDeadline(msg *protocol.Message, parsed *parsedRequest) (placer.Seconds, error) {
	text := msg.Get(protocol.TimeLeft)
	leftMS, err := strconv.ParseFloat(text, 64)
	limitMS := 2000 * float64(c.settings.Placer.Classes[parsed.task.Class].Deadline)
	valid := err == nil && (inRange(leftMS, limitMS) || parsed.isAdoption() && leftMS >= 0)
	if !valid {
		return 0, invalidMessage(InvalidTimeLeft, "launch %s: left %.40q: want 0 to %g ms, twice what the class gives", msg.UID, text, limitMS)
	}
	return placer.Seconds(c.now + leftMS/1000), nil
}

// inRange reports whether a value is a number from 0 to limit. NaN is not.
func inRange(value, limit float64) bool { return value >= 0 && value <= limit }
