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

// podPath returns the path of a Pod, or of all Pods in the namespace if name is "".
func podPath(namespace, name string) string {
	path := "/api/v1/namespaces/" + url.PathEscape(namespace) + "/pods"
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// attemptHeader returns the header fields of a request that concerns the attempt with the given number.
func attemptHeader(attempt int) []http1.Field {
	return []http1.Field{
		{Name: "Content-Type", Value: "application/json"},
		{Name: wellknown.AttemptHeader, Value: strconv.Itoa(attempt)},
	}
}

// sendAttempt posts the Pod of a task to a node, and passes the node's answer to the engine.
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
		MaySend:             func() bool { return s.engine.MaySendAttempt(answer.UID, answer.Attempt) },
		OnDone: func(head *http1.Head, body []byte, err error) {
			delete(s.attemptCalls, key)
			decodeAttemptAnswer(&answer, head, body, err)
			s.finishAttempt(answer)
		},
	}
	s.attemptCalls[key] = call
	// The call has no timeout, because the engine abandons an attempt that takes too long.
	node.client.Do("POST", podPath(effect.Namespace, ""), attemptHeader(effect.Attempt), body, 0, call)
}

func (s *Scheduler) finishAttempt(answer engine.AttemptAnswer) {
	s.engine.AttemptDone(s.engineNow(), answer)
	s.processEffects()
}

// rejectionReasons maps the reason in a Status object from a node to the reason for a rejection. A Status
// with any other reason counts as an error of the node.
var rejectionReasons = map[metav1.StatusReason]placer.Reason{
	wellknown.OutOfCPU:    placer.InsufficientCores,
	wellknown.OutOfMemory: placer.InsufficientMemory,
	wellknown.QueueFull:   placer.QueueFull,
	wellknown.WrongNode:   placer.WrongNode,
}

// decodeAttemptAnswer sets the answer from the response of a node to an attempt, or from the error of the
// request.
func decodeAttemptAnswer(answer *engine.AttemptAnswer, head *http1.Head, body []byte, err error) {
	var connectError *httpc.ConnectError
	switch {
	case errors.Is(err, httpc.ErrNotSent):
		answer.Result = placer.Expired
		return
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

// decodeLoadReport returns the load report in the header of a response. It returns nil if the report is
// missing or cannot be decoded. Values that the report does not contain are NaN.
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

// decodeAcceptance sets the answer from a successful response, whose body is the Pod of the task. The task
// may have ended already.
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

// decodeRejection sets the answer from an unsuccessful response, whose body is a Status object with the
// reason.
func decodeRejection(answer *engine.AttemptAnswer, body []byte) {
	var status metav1.Status
	// If the body cannot be decoded completely, status has the fields decoded so far. A Status without a
	// known reason counts as an error of the node.
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

// stopTask asks a node to stop a task, and passes the node's answer to the engine.
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

// stopBody returns the body of a request to stop a task. Its precondition restricts the request to the Pod
// with the UID of the task.
func stopBody(effect *engine.Effect) []byte {
	options := &metav1.DeleteOptions{
		TypeMeta:      metav1.TypeMeta{Kind: "DeleteOptions", APIVersion: "v1"},
		Preconditions: &metav1.Preconditions{UID: &effect.UID},
	}
	body, err := json.Marshal(options)
	if err != nil {
		panic(err) // unreachable: the options contain only strings, which can always be encoded
	}
	return body
}

// decodeStopAnswer sets the answer from the response of a node to a request to stop a task. An unexpected
// status or body leaves the outcome of the request unknown.
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
