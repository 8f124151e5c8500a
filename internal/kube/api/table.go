package api

import (
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"strings"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime"
	"k8s.io/apimachinery/pkg/util/duration"

	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/internal/netio/http1"
	"heathshed/placer"
)

// prefersTable reports whether an Accept header lists the Table format before plain JSON. The command kubectl
// get sends such a header.
func prefersTable(accept string) bool {
	for mediaRange := range strings.SplitSeq(accept, ",") {
		mediaType, parameters, err := mime.ParseMediaType(mediaRange)
		if err != nil {
			continue
		}
		switch {
		case parameters["as"] == "Table" && parameters["g"] == "meta.k8s.io" && parameters["v"] == "v1":
			return true
		case mediaType == jsonType && parameters["as"] == "":
			return false
		}
	}
	return false
}

// tableColumns contains the column definitions of the Table for each resource.
var tableColumns = map[store.Resource][]metav1.TableColumnDefinition{
	store.Jobs:       textColumns("Status", "Completions", "Settled", "Age"),
	store.Pods:       append(textColumns("Status", "Settled", "Age", "Node"), wideColumn("Message")),
	store.Nodes:      append(textColumns("Status", "Kind", "Zone", "Rack"), wideColumn("Free")),
	store.Namespaces: textColumns("Status", "Age"),
}

// textColumns returns the definition of the column Name, followed by the definitions of text columns with the
// given headings.
func textColumns(headings ...string) []metav1.TableColumnDefinition {
	columns := []metav1.TableColumnDefinition{{Name: "Name", Type: "string", Format: "name"}}
	for _, heading := range headings {
		columns = append(columns, metav1.TableColumnDefinition{Name: heading, Type: "string"})
	}
	return columns
}

// wideColumn returns the definition of a text column that kubectl prints only with the option -o wide.
func wideColumn(heading string) metav1.TableColumnDefinition {
	return metav1.TableColumnDefinition{Name: heading, Type: "string", Priority: 1}
}

// age returns the time since the creation of an object in the format that kubectl uses.
func age(o store.Object, now placer.Seconds) string {
	creationTime := o.GetCreationTimestamp()
	if creationTime.IsZero() {
		return "<unknown>"
	}
	return duration.HumanDuration((now - placer.Seconds(creationTime.Unix())).Duration())
}

// tableCells returns the cells of the table row for an object, in the order of the columns in tableColumns.
func tableCells(o store.Object, now placer.Seconds) []any {
	switch object := o.(type) {
	case *batchv1.Job:
		return jobCells(object, now)
	case *corev1.Pod:
		return podCells(object, now)
	case *corev1.Node:
		return nodeCells(object)
	case *corev1.Namespace:
		return []any{object.Name, string(object.Status.Phase), age(object, now)}
	}
	return nil
}

func jobCells(job *batchv1.Job, now placer.Seconds) []any {
	state := "Running"
	settledReason := ""
	for _, condition := range job.Status.Conditions {
		if condition.Status != corev1.ConditionTrue {
			continue
		}
		switch condition.Type {
		case wellknown.Settled:
			settledReason = condition.Reason
		case batchv1.JobComplete, batchv1.JobFailed, batchv1.JobSuspended:
			state = string(condition.Type)
		}
	}
	completions := fmt.Sprintf("%d/%d", job.Status.Succeeded, desiredCompletions(job))
	return []any{job.Name, state, completions, settledReason, age(job, now)}
}

// desiredCompletions returns the number of tasks that must succeed before a Job is complete.
func desiredCompletions(job *batchv1.Job) int32 {
	switch {
	case job.Spec.Completions != nil:
		return *job.Spec.Completions
	case job.Spec.Parallelism != nil:
		return *job.Spec.Parallelism
	}
	return defaultCompletions
}

func podCells(pod *corev1.Pod, now placer.Seconds) []any {
	state := string(pod.Status.Phase)
	if pod.Status.Reason != "" {
		state = pod.Status.Reason
	}
	message := pod.Status.Message
	for _, condition := range pod.Status.Conditions {
		if condition.Type == wellknown.Settled && message == "" {
			message = condition.Message
		}
	}
	return []any{pod.Name, state, wellknown.SettledReason(pod), age(pod, now), pod.Spec.NodeName, message}
}

func nodeCells(node *corev1.Node) []any {
	state := "Ready"
	if !wellknown.NodeReady(node) {
		state = "NotReady"
	}
	if node.Spec.Unschedulable {
		state += ",SchedulingDisabled"
	}
	return []any{
		node.Name,
		state,
		node.Labels[wellknown.NodeType],
		node.Labels[wellknown.Zone],
		node.Labels[wellknown.Rack],
		node.Annotations[wellknown.FreeCapacity],
	}
}

// These constants are values of the query parameter includeObject. With includeFullObject, a table row
// contains the complete object. With includeNoObject, a table row contains no object. With any other value
// of the parameter, a table row contains the metadata of the object.
const (
	includeFullObject = "Object"
	includeNoObject   = "None"
)

// tableResponse returns a response with a Table that has one row for each of the given objects.
func (s *Server) tableResponse(r *request, listMeta metav1.ListMeta, objects []store.Object) (http1.Response, error) {
	table := metav1.Table{
		TypeMeta:          metav1.TypeMeta{Kind: "Table", APIVersion: "meta.k8s.io/v1"},
		ListMeta:          listMeta,
		ColumnDefinitions: tableColumns[r.resourceType.resource],
		Rows:              []metav1.TableRow{},
	}
	includeParameter := r.query.Get("includeObject")
	for _, o := range objects {
		object, err := encodeRowObject(o, includeParameter)
		if err != nil {
			return http1.Response{}, fmt.Errorf("encode table row: %w", err)
		}
		table.Rows = append(table.Rows, metav1.TableRow{Cells: tableCells(o, s.now), Object: runtime.RawExtension{Raw: object}})
	}
	return jsonResponse(http.StatusOK, &table)
}

// encodeRowObject returns the JSON that a table row contains in addition to its cells. Depending on the query
// parameter includeObject, this is the complete object, nothing or only the metadata of the object.
func encodeRowObject(o store.Object, includeParameter string) ([]byte, error) {
	switch includeParameter {
	case includeFullObject:
		return encodeJSON(o)
	case includeNoObject:
		return nil, nil
	}
	return json.Marshal(&metav1.PartialObjectMetadata{
		TypeMeta: metav1.TypeMeta{Kind: "PartialObjectMetadata", APIVersion: "meta.k8s.io/v1"},
		ObjectMeta: metav1.ObjectMeta{
			Name:              o.GetName(),
			Namespace:         o.GetNamespace(),
			UID:               o.GetUID(),
			ResourceVersion:   o.GetResourceVersion(),
			Labels:            o.GetLabels(),
			Annotations:       o.GetAnnotations(),
			CreationTimestamp: o.GetCreationTimestamp(),
		},
	})
}
