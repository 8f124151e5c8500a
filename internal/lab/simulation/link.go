package simulation

import (
	"fmt"
	"strconv"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/nodesim"
	"heathshed/placer"
)

// trickleDelay is the additional delay of answers during the fault "trickle".
const trickleDelay placer.Seconds = 1

// latency returns a random one-way latency of a link.
func (w *World) latency() placer.Seconds {
	links := &w.cfg.Links
	return links.LatencyMin + (links.LatencyMax-links.LatencyMin)*placer.Seconds(w.rng.Float64())
}

// attemptState says whether a scheduler still waits for the answer to an attempt that it has sent.
type attemptState uint8

const (
	attemptAbandoned attemptState = iota // the scheduler has closed the connection
	attemptInFlight
)

// attempt is an attempt in flight, from when a scheduler sends it until the scheduler receives the answer.
type attempt struct {
	scheduler *scheduler
	alive     func() bool // reports whether the incarnation of the scheduler that sent it still runs
	node      *node
	key       string
	pod       *corev1.Pod
	answer    engine.AttemptAnswer // only the fields that identify the attempt
}

// sendAttempt sends an attempt to a node.
func (s *scheduler) sendAttempt(effect *engine.Effect) {
	a := &attempt{
		scheduler: s,
		alive:     s.aliveCheck(),
		node:      s.world.nodesByName[effect.Node],
		key:       nodesim.AttemptKey(string(effect.UID), effect.Attempt),
		pod:       effect.Pod,
		answer:    engine.AttemptAnswer{UID: effect.UID, Attempt: effect.Attempt, Node: effect.Node},
	}
	s.attempts[a.key] = attemptInFlight
	s.world.after(s.world.latency(), a.arrive)
}

// abandonAttempt closes the connection of an attempt, whose answer is no longer expected.
func (s *scheduler) abandonAttempt(effect *engine.Effect) {
	key := nodesim.AttemptKey(string(effect.UID), effect.Attempt)
	if _, ok := s.attempts[key]; ok {
		s.attempts[key] = attemptAbandoned
		s.world.record(audit.Event{Kind: audit.Abandoned, UID: string(effect.UID), Attempt: effect.Attempt, Node: effect.Node})
	}
}

// arrive delivers the attempt to its node.
func (a *attempt) arrive() {
	n, w := a.node, a.scheduler.world
	switch {
	case n.sim == nil:
		a.fail(placer.Unreachable, w.latency())
		return
	case !n.reachable():
		a.fail(placer.Unreachable, w.cfg.Links.ConnectTimeout)
		return
	}
	received := a.event(audit.AttemptReceived)
	received.Rack = n.cfg.Rack
	received.Zone = n.cfg.Zone
	received.Class = a.pod.Labels[wellknown.Class]
	received.Service = nodesim.PodService(a.pod)
	received.Scheduler = a.scheduler.cfg.Name
	w.record(received)
	switch {
	case w.now < n.faults.ResetUntil || w.rng.Float64() < w.cfg.Links.AttemptLossRate:
		a.breakConnection(placer.Lost)
		return
	case n.faults.FailsClass(w.now, received.Class):
		a.breakConnection(placer.Errored)
		return
	}
	n.pending[a.key] = a.answered
	n.sim.Submit(w.now, a.request())
	n.process()
}

// event returns an audit event of the node about the attempt.
func (a *attempt) event(kind audit.EventKind) audit.Event {
	return audit.Event{Kind: kind, Node: a.node.cfg.Name, UID: string(a.answer.UID), Attempt: a.answer.Attempt}
}

// request returns the attempt as a request to the simulated node.
func (a *attempt) request() nodesim.Request {
	priority := a.scheduler.world.cfg.Priorities[a.pod.Labels[wellknown.Class]]
	request := nodesim.PodRequest(a.pod, a.answer.Attempt, priority)
	// Without a valid lifetime it is 0, for which the node draws one.
	lifetime, _ := strconv.ParseFloat(a.pod.Annotations[wellknown.Lifetime], 64)
	request.Lifetime = placer.Seconds(lifetime)
	return request
}

// answered sends the node's answer to the scheduler. outcome is nil if the node crashed before it answered.
func (a *attempt) answered(outcome *nodesim.Effect) {
	n, w := a.node, a.scheduler.world
	delay := w.latency()
	if w.now < n.faults.TrickleUntil {
		delay += trickleDelay
	}
	if outcome == nil || outcome.Task != nil && a.answerLost() {
		a.breakConnection(placer.Lost)
		return
	}
	answer := a.answer
	answer.Incarnation = n.bootID
	cores, memory := n.sim.Unused()
	answer.Report = &placer.Report{
		FreeCores:   cores,
		FreeMemory:  memory,
		Utilization: n.sim.Utilization(),
		QueueLength: float64(n.sim.QueueLength()),
	}
	if outcome.Task != nil {
		answer.Accepted = true
		answer.Revision = n.rev
	} else {
		answer.Result = placer.Rejected
		answer.Reason = rejectReasons[outcome.Reason]
		rejected := a.event(audit.Rejected)
		rejected.Reason = fmt.Sprint(outcome.Reason)
		w.record(rejected)
	}
	a.deliver(answer, delay)
}

// answerLost decides whether the connection breaks after an acceptance and before its answer arrives.
func (a *attempt) answerLost() bool {
	w := a.scheduler.world
	return w.now < a.node.faults.LoseAnswerUntil || w.rng.Float64() < w.cfg.Links.AnswerLossRate
}

// breakConnection ends the attempt without an answer from the node.
func (a *attempt) breakConnection(result placer.Result) {
	w := a.scheduler.world
	w.record(a.event(audit.Abandoned))
	a.fail(result, w.latency())
}

// fail reports the failure of the attempt to the scheduler after a delay.
func (a *attempt) fail(result placer.Result, delay placer.Seconds) {
	answer := a.answer
	answer.Result = result
	a.deliver(answer, delay)
}

// deliver passes an answer to the scheduler after a delay, if its incarnation still runs then.
func (a *attempt) deliver(answer engine.AttemptAnswer, delay placer.Seconds) {
	s := a.scheduler
	s.world.after(delay, func() {
		if !a.alive() {
			return
		}
		if s.attempts[a.key] != attemptInFlight && answer.Accepted {
			answer.Accepted = false
			answer.Result = placer.Lost
		}
		delete(s.attempts, a.key)
		s.engine.AttemptDone(s.world.now, answer)
		s.process()
	})
}

// rejectReasons are the node's reasons for a rejection as the placer knows them.
var rejectReasons = map[nodesim.Reason]placer.Reason{
	nodesim.InsufficientCores:  placer.InsufficientCores,
	nodesim.InsufficientMemory: placer.InsufficientMemory,
	nodesim.QueueFull:          placer.QueueFull,
	nodesim.WrongNode:          placer.WrongNode,
}

// stopTask sends a request to stop a task to a node, and the answer back to the scheduler.
func (s *scheduler) stopTask(effect *engine.Effect) {
	w := s.world
	n := w.nodesByName[effect.Node]
	uid := string(effect.UID)
	answer := engine.StopAnswer{UID: effect.UID, Node: effect.Node, Attempt: effect.Attempt}
	alive := s.aliveCheck()
	reply := func(delay placer.Seconds) {
		w.after(delay, func() {
			if alive() {
				s.engine.StopDone(w.now, answer)
				s.process()
			}
		})
	}
	w.after(w.latency(), func() {
		if !n.reachable() {
			reply(w.cfg.Links.ConnectTimeout)
			return
		}
		answer.Answered = true
		answer.Incarnation = n.bootID
		answer.HadTask, answer.MayHaveRun = n.sim.Stop(w.now, uid, answer.Attempt)
		if !answer.HadTask {
			w.record(audit.Event{Kind: audit.Fenced, Node: n.cfg.Name, UID: uid, Attempt: answer.Attempt})
		}
		n.process()
		reply(w.latency())
	})
}
