package main

import (
	"encoding/json"
	"fmt"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/wellknown"
)

// tableHeaders are the columns of tables by the kind of object.
var tableHeaders = map[string][]string{
	"Job":  {"NAMESPACE", "NAME", "SUCCEEDED", "ACTIVE", "STATE", "SETTLED"},
	"Pod":  {"NAMESPACE", "NAME", "PHASE", "NODE", "SETTLED", "MESSAGE"},
	"Node": {"NAME", "STATE", "KIND", "ZONE", "RACK", "FREE"},
}

// tableRow returns an object as a row of a table, nil if its kind has no table.
func tableRow(kind string, object json.RawMessage) []string {
	switch kind {
	case "Job":
		return jobRow(decodeObject[batchv1.Job](object))
	case "Pod":
		return podRow(decodeObject[corev1.Pod](object))
	case "Node":
		return nodeRow(decodeObject[corev1.Node](object))
	}
	return nil
}

// decodeObject decodes an object for display. If a field has the wrong type, the object is shown with the fields that could be decoded.
func decodeObject[T any](raw json.RawMessage) *T {
	object := new(T)
	_ = json.Unmarshal(raw, object)
	return object
}

func jobRow(job *batchv1.Job) []string {
	tasks := int32(1)
	if job.Spec.Completions != nil {
		tasks = *job.Spec.Completions
	} else if job.Spec.Parallelism != nil {
		tasks = *job.Spec.Parallelism
	}
	succeeded := fmt.Sprintf("%d/%d", job.Status.Succeeded, tasks)
	conditions := job.Status.Conditions
	return []string{job.Namespace, job.Name, succeeded, fmt.Sprint(job.Status.Active), jobState(conditions), settledCondition(conditions)}
}

// jobState returns the type of the last true condition that ends or suspends a job, "Running" if there is none.
func jobState(conditions []batchv1.JobCondition) string {
	state := "Running"
	for i := range conditions {
		if conditions[i].Status != corev1.ConditionTrue {
			continue
		}
		switch conditions[i].Type {
		case batchv1.JobComplete, batchv1.JobFailed, batchv1.JobSuspended:
			state = string(conditions[i].Type)
		}
	}
	return state
}

// settledCondition returns the outcome of a job's placement, "" while there is none.
func settledCondition(conditions []batchv1.JobCondition) string {
	for i := range conditions {
		if c := &conditions[i]; c.Type == wellknown.Settled && c.Status == corev1.ConditionTrue {
			return c.Reason + ": " + c.Message
		}
	}
	return ""
}

func podRow(pod *corev1.Pod) []string {
	settled := wellknown.SettledReason(pod)
	message := ""
	for i := range pod.Status.Conditions {
		if c := &pod.Status.Conditions[i]; c.Type == wellknown.Settled {
			message = c.Message
		}
	}
	if pod.Status.Reason != "" && pod.Status.Message != "" && settled == wellknown.Placed {
		message = pod.Status.Reason + ": " + pod.Status.Message
	}
	return []string{pod.Namespace, pod.Name, string(pod.Status.Phase), pod.Spec.NodeName, settled, message}
}

func nodeRow(node *corev1.Node) []string {
	state := "Ready"
	if !wellknown.NodeReady(node) {
		state = "NotReady"
	}
	if node.Spec.Unschedulable {
		state += ",Drained"
	}
	labels := node.Labels
	return []string{node.Name, state, labels[wellknown.NodeType], labels[wellknown.Zone], labels[wellknown.Rack], node.Annotations[wellknown.FreeCapacity]}
}
