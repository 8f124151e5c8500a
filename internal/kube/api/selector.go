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

// objectSelector selects objects by namespace, labels and fields. It is used for lists, watches and the
// deletion of several objects.
type objectSelector struct {
	// namespace is empty if the selector selects objects of all namespaces.
	namespace    string
	labels       labels.Selector
	fields       fields.Selector
	resourceType *resourceType
	// matchesAll is true if the request has neither a label selector nor a field selector. The objectSelector
	// then matches every object in the namespace.
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
	fieldValues := s.resourceType.selectableValues(o)
	fieldValues["metadata.name"] = o.GetName()
	fieldValues["metadata.namespace"] = o.GetNamespace()
	return s.fields.Matches(fieldValues)
}

// parseSelector returns the selector that the namespace and the query parameters labelSelector and
// fieldSelector of a request describe.
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

// checkSelectorTerms returns an error if a label or field selector has too many terms. The number of terms
// is limited, because every term is compared with every object of a list. The check counts commas and does
// not parse the selector, because the selector may be long. A comma separates either two requirements or
// two values of one requirement.
func checkSelectorTerms(parameter, text string) error {
	if commaCount := strings.Count(text, ","); commaCount >= maxSelectorTerms {
		return apierrors.NewRequestEntityTooLargeError(fmt.Sprintf("%s: %d terms: at most %d", parameter, commaCount+1, maxSelectorTerms))
	}
	return nil
}

// isSelectable reports whether a field selector for objects of this resource type may use the field with
// the given name.
func (t *resourceType) isSelectable(name string) bool {
	return name == "metadata.name" || name == "metadata.namespace" || slices.Contains(t.selectableFields, name)
}
