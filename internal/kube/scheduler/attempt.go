//go:build linux

package scheduler

import (
	"encoding/json"
	"errors"
	"math"
	"net/url"
	"strconv"
	"time"

	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/engine"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/netio/http1"
	"heathshed/internal/netio/httpc"
	"heathshed/placer"
)

const (
	stopTimeout      = 5 * time.Second
	defaultNamespace = "default"
)

// podPath is the path of a Pod, or of the Pods of a namespace.
func podPath(namespace, name string) string {
	path := "/api/v1/namespaces/" + url.PathEscape(namespace) + "/pods"
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// attemptHeader is the header of a request about an attempt.
func attemptHeader(attempt int) []http1.Field {
	return []http1.Field{
		{Name: "Content-Type", Value: "application/json"},
		{Name: wellknown.AttemptHeader, Value: strconv.Itoa(attempt)},
	}
}

// sendAttempt sends a task to a node and gives the engine its answer.
func (s *Scheduler) sendAttempt(effect *engine.Effect) {
	answer := engine.AttemptAnswer{UID: effect.UID, Attempt: effect.Attempt, Node: effect.Node}
	node := s.nodes[effect.Node]
	body, err := json.Marshal(effect.Pod)
	if node == nil || err != nil {
		answer.Result = placer.Unreachable
		s.loop.After(0, func() { s.finishAttempt(answer) })
		return
	}
	key := attemptKey{effect.UID, effect.Attempt}
	call := &httpc.Call{
		AvoidUnknownOutcome: effect.AvoidUnknownOutcome,
		OnDone: func(head *http1.Head, body []byte, err error) {
			delete(s.calls, key)
			decodeAttemptAnswer(&answer, head, body, err)
			s.finishAttempt(answer)
		},
	}
	s.calls[key] = call
	// No time limit here: the engine abandons an attempt that takes too long.
	node.client.Do("POST", podPath(effect.Namespace, ""), attemptHeader(effect.Attempt), body, 0, call)
}

func (s *Scheduler) finishAttempt(answer engine.AttemptAnswer) {
	s.engine.AttemptDone(s.engineNow(), answer)
	s.processEffects()
}

// rejectionReasons maps the reason of a node's Status to that of a rejection. Any other is an error of the node.
var rejectionReasons = map[metav1.StatusReason]placer.Reason{
	wellknown.OutOfCPU:    placer.InsufficientCores,
	wellknown.OutOfMemory: placer.InsufficientMemory,
	wellknown.QueueFull:   placer.QueueFull,
	wellknown.WrongNode:   placer.WrongNode,
}

// decodeAttemptAnswer translates a node's response to an attempt, or the lack of one.
func decodeAttemptAnswer(answer *engine.AttemptAnswer, head *http1.Head, body []byte, err error) {
	var connectError *httpc.ConnectError
	switch {
	case errors.As(err, &connectError):
		answer.Result = placer.Unreachable
		return
	case err != nil:
		answer.Result = placer.Lost
		return
	}
	answer.Incarnation = head.Header.Get(wellknown.IncarnationHeader)
	answer.Report = decodeLoadReport(head)
	if http1.IsSuccess(head.Status) {
		decodeAcceptance(answer, body)
	} else {
		decodeRejection(answer, body)
	}
}

// decodeLoadReport returns the load report of a response, or nil if there is none that can be decoded.
func decodeLoadReport(head *http1.Head) *placer.Report {
	values, err := wellknown.ParseDict(head.Header.Get(wellknown.LoadHeader))
	if err != nil || len(values) == 0 {
		return nil
	}
	value := func(name string) float64 {
		if v, ok := values[name]; ok {
			return v
		}
		return math.NaN()
	}
	return &placer.Report{
		FreeCores:   value("free-cores"),
		FreeMemory:  value("free-memory"),
		Utilization: value("busy"),
		QueueLength: value("queue"),
	}
}

// decodeAcceptance translates a response of success: the Pod of the task, which may already have ended.
func decodeAcceptance(answer *engine.AttemptAnswer, body []byte) {
	var pod corev1.Pod
	if err := json.Unmarshal(body, &pod); err != nil || pod.UID != answer.UID {
		answer.Result = placer.Errored
		return
	}
	if pod.Status.Reason == wellknown.NeverStarted {
		answer.Result = placer.Rejected
		answer.Reason = placer.WrongNode
		return
	}
	answer.Accepted = true
	answer.Pod = &pod
	answer.Revision = parseRevision(pod.ResourceVersion)
}

// decodeRejection translates any other response: a Status that says why.
func decodeRejection(answer *engine.AttemptAnswer, body []byte) {
	var status metav1.Status
	// What can be decoded of the body counts. Without a reason the response is an error of the node.
	_ = json.Unmarshal(body, &status)
	answer.Message = status.Message
	reason, rejected := rejectionReasons[status.Reason]
	if !rejected {
		answer.Result = placer.Errored
		return
	}
	answer.Result = placer.Rejected
	answer.Reason = reason
}

// stopTask asks a node to stop a task and gives the engine its answer.
func (s *Scheduler) stopTask(effect *engine.Effect) {
	answer := engine.StopAnswer{UID: effect.UID, Attempt: effect.Attempt, Node: effect.Node}
	node := s.nodes[effect.Node]
	if node == nil {
		s.loop.After(0, func() { s.finishStop(answer) })
		return
	}
	name := effect.Name
	if name == "" {
		name = string(effect.UID)
	}
	namespace := effect.Namespace
	if namespace == "" {
		namespace = defaultNamespace
	}
	call := &httpc.Call{OnDone: func(head *http1.Head, body []byte, err error) {
		if err == nil {
			decodeStopAnswer(&answer, head, body)
		}
		s.finishStop(answer)
	}}
	node.client.Do("DELETE", podPath(namespace, name), attemptHeader(effect.Attempt), stopBody(effect), stopTimeout, call)
}

func (s *Scheduler) finishStop(answer engine.StopAnswer) {
	s.engine.StopDone(s.engineNow(), answer)
	s.processEffects()
}

// stopBody is the body of a request to stop a task: only if it is the one of this UID.
func stopBody(effect *engine.Effect) []byte {
	options := &metav1.DeleteOptions{
		TypeMeta:      metav1.TypeMeta{Kind: "DeleteOptions", APIVersion: "v1"},
		Preconditions: &metav1.Preconditions{UID: &effect.UID},
	}
	body, err := json.Marshal(options)
	if err != nil {
		panic(err) // strings only: cannot fail
	}
	return body
}

// decodeStopAnswer translates a node's response to a stop. One that is none leaves the outcome unknown.
func decodeStopAnswer(answer *engine.StopAnswer, head *http1.Head, body []byte) {
	answer.Incarnation = head.Header.Get(wellknown.IncarnationHeader)
	switch head.Status {
	case http1.StatusNotFound:
		answer.Answered = true
	case http1.StatusOK:
		var pod corev1.Pod
		if err := json.Unmarshal(body, &pod); err != nil || pod.UID != answer.UID {
			return
		}
		answer.Answered = true
		answer.HadTask = true
		answer.MayHaveRun = pod.Status.Reason != wellknown.NeverStarted
	}
}
