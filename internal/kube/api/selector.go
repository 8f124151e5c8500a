package api

import (
	"fmt"
	"slices"
	"strings"

	apierrors "k8s.io/apimachinery/pkg/api/errors"
	"k8s.io/apimachinery/pkg/fields"
	"k8s.io/apimachinery/pkg/labels"

	"heathshed/internal/kube/store"
)

// maxSelectorTerms is the maximum number of comma-separated terms in a label or field selector.
const maxSelectorTerms = 100

// objectSelector selects the objects of a list or watch by namespace, labels and fields.
type objectSelector struct {
	// namespace is empty if objects of all namespaces are selected.
	namespace    string
	labels       labels.Selector
	fields       fields.Selector
	resourceType *resourceType
	// matchesAll is set if there is neither a label selector nor a field selector.
	matchesAll bool
}

func (s *objectSelector) matches(o store.Object) bool {
	if o == nil || s.namespace != "" && o.GetNamespace() != s.namespace {
		return false
	}
	if s.matchesAll {
		return true
	}
	if !s.labels.Matches(labels.Set(o.GetLabels())) {
		return false
	}
	if s.fields.Empty() {
		return true
	}
	values := s.resourceType.selectableValues(o)
	values["metadata.name"] = o.GetName()
	values["metadata.namespace"] = o.GetNamespace()
	return s.fields.Matches(values)
}

// parseSelector builds a selector from the namespace, labelSelector and fieldSelector of a request.
func (r *request) parseSelector() (objectSelector, error) {
	selector := objectSelector{namespace: r.namespace, resourceType: r.resourceType}
	labelText := r.query.Get("labelSelector")
	fieldText := r.query.Get("fieldSelector")
	if err := checkSelectorTerms("labelSelector", labelText); err != nil {
		return selector, err
	}
	if err := checkSelectorTerms("fieldSelector", fieldText); err != nil {
		return selector, err
	}
	var err error
	if selector.labels, err = labels.Parse(labelText); err != nil {
		return selector, apierrors.NewBadRequest("unable to parse requirement: " + err.Error())
	}
	if selector.fields, err = fields.ParseSelector(fieldText); err != nil {
		return selector, apierrors.NewBadRequest("fieldSelector: " + err.Error())
	}
	for _, requirement := range selector.fields.Requirements() {
		if !r.resourceType.isSelectable(requirement.Field) {
			return selector, apierrors.NewBadRequest(fmt.Sprintf("field label not supported: %s", requirement.Field))
		}
	}
	selector.matchesAll = selector.labels.Empty() && selector.fields.Empty()
	return selector, nil
}

// checkSelectorTerms limits the number of terms in a selector, because every object of a list is compared
// with every term. The check runs before the selector is parsed and counts commas, which separate both the
// requirements and the values of a requirement.
func checkSelectorTerms(name, text string) error {
	if commas := strings.Count(text, ","); commas >= maxSelectorTerms {
		return apierrors.NewRequestEntityTooLargeError(fmt.Sprintf("%s: %d terms: at most %d", name, commas+1, maxSelectorTerms))
	}
	return nil
}

// isSelectable reports whether a field selector may use the named field.
func (t *resourceType) isSelectable(name string) bool {
	return name == "metadata.name" || name == "metadata.namespace" || slices.Contains(t.selectableFields, name)
}
