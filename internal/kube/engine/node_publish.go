package engine

import (
	"maps"

	"github.com/cespare/xxhash/v2"
	corev1 "k8s.io/api/core/v1"
	"k8s.io/apimachinery/pkg/api/equality"

	"heathshed/internal/kube/store"
	"heathshed/internal/kube/wellknown"
	"heathshed/placer"
)

// minPublishInterval is how many seconds pass between changes of a stored Node of which only the free capacity differs.
const minPublishInterval = 5

// inventoryLabels are the labels that only the inventory sets.
var inventoryLabels = []string{wellknown.Zone, wellknown.Rack, wellknown.Kind}

// publishNode stores a node as the API shows it: as the inventory states, with the labels and the drain order that were given by the API.
// Changes of the free capacity alone come often, and are stored at most once in minPublishInterval.
func (e *Engine) publishNode(node *node) {
	if node.inventory == nil {
		e.store.Delete(store.Nodes, "", node.name)
		return
	}
	stored, _ := e.store.Get(store.Nodes, "", node.name).(*corev1.Node) // nil if it is not stored
	fingerprint, known := nodeFingerprint(node.inventory)
	recent := e.now-node.publishedAt < minPublishInterval
	changed := !known || fingerprint != node.publishedFingerprint || node.publishPending
	if stored != nil && !changed && (recent || sameFreeCapacity(stored, node.inventory)) {
		return
	}
	node.publishedFingerprint = fingerprint
	node.publishPending = false
	published := node.apiObject()
	if stored != nil {
		published.ResourceVersion = stored.ResourceVersion
		if equality.Semantic.DeepEqual(stored, published) || recent && onlyFreeCapacityDiffers(stored, published) {
			return
		}
	}
	node.publishedAt = e.now
	e.store.Put(store.Nodes, published)
}

func sameFreeCapacity(left, right *corev1.Node) bool {
	return left.Annotations[wellknown.FreeCapacity] == right.Annotations[wellknown.FreeCapacity]
}

// onlyFreeCapacityDiffers reports whether a node differs from the stored one in nothing but the free capacity.
func onlyFreeCapacityDiffers(stored, published *corev1.Node) bool {
	if published.Annotations == nil {
		return false // it states no free capacity that could differ
	}
	free := published.Annotations[wellknown.FreeCapacity]
	published.Annotations[wellknown.FreeCapacity] = stored.Annotations[wellknown.FreeCapacity]
	if equality.Semantic.DeepEqual(stored, published) {
		return true
	}
	published.Annotations[wellknown.FreeCapacity] = free
	return false
}

// apiObject returns a new copy of the node as the API shows it.
func (n *node) apiObject() *corev1.Node {
	object := n.inventory.DeepCopy()
	if n.hasCustomLabels {
		object.Labels = maps.Clone(n.customLabels)
		for _, key := range inventoryLabels {
			if value, ok := n.inventory.Labels[key]; ok {
				object.Labels[key] = value
			}
		}
	}
	object.Spec.Unschedulable = object.Spec.Unschedulable || n.drainOrdered
	if object.Spec.Unschedulable && !hasUnschedulableTaint(object) {
		object.Spec.Taints = append(object.Spec.Taints, corev1.Taint{
			Key:    corev1.TaintNodeUnschedulable,
			Effect: corev1.TaintEffectNoSchedule,
		})
	}
	return object
}

func hasUnschedulableTaint(object *corev1.Node) bool {
	for i := range object.Spec.Taints {
		if object.Spec.Taints[i].Key == corev1.TaintNodeUnschedulable {
			return true
		}
	}
	return false
}

// nodeFingerprint returns a hash of what the inventory states of a node, without its free capacity and resource version, and whether it
// could be computed.
func nodeFingerprint(object *corev1.Node) (hash uint64, ok bool) {
	stripped := *object
	stripped.ResourceVersion = ""
	if _, ok := stripped.Annotations[wellknown.FreeCapacity]; ok {
		stripped.Annotations = maps.Clone(stripped.Annotations)
		delete(stripped.Annotations, wellknown.FreeCapacity)
	}
	encoded, err := stripped.Marshal()
	return xxhash.Sum64(encoded), err == nil
}

// UpdateNode takes the labels of a Node and an order to drain it or to end its drain, nil if the update gives none: a node that the
// inventory drains shows as unschedulable without an order. The placer is notified of an order at once. The update's UID and resource version
// are not checked if they are empty. It returns the Node as stored; a dry run only returns what would be stored. Errors: ErrNotFound,
// ErrConflict, *InvalidError.
func (e *Engine) UpdateNode(now float64, update *corev1.Node, drain *bool, dryRun bool) (*corev1.Node, error) {
	e.beginCall(now)
	defer e.endCall()
	node := e.nodes[update.Name]
	stored, _ := e.store.Get(store.Nodes, "", update.Name).(*corev1.Node) // nil if it is not stored
	if node == nil || stored == nil {
		return nil, ErrNotFound
	}
	if err := checkPreconditions(stored, update.UID, update.ResourceVersion); err != nil {
		return nil, err
	}
	if invalid := checkNodeUpdate(stored, update); invalid != nil {
		return nil, invalid
	}
	if dryRun {
		return node.previewUpdate(stored, update, drain), nil
	}
	if !maps.Equal(update.Labels, stored.Labels) {
		node.customLabels = maps.Clone(update.Labels)
		node.hasCustomLabels = true
		node.publishPending = true
	}
	if drain != nil && *drain != node.drainOrdered {
		node.drainOrdered = *drain
		node.publishPending = true
		e.post(placer.Event{Kind: placer.NodesListed, List: placer.Changes, Nodes: []placer.Node{e.placerNode(node)}})
		e.drainEvents()
	}
	e.publishNode(node)
	return e.store.Get(store.Nodes, "", update.Name).(*corev1.Node), nil
}

func checkNodeUpdate(stored, update *corev1.Node) *InvalidError {
	for _, key := range inventoryLabels {
		if update.Labels[key] != stored.Labels[key] {
			return &InvalidError{
				Field:  "metadata.labels[" + key + "]",
				Detail: "the inventory says where a machine stands; it cannot be changed here",
				Value:  update.Labels[key],
			}
		}
	}
	return nil
}

// previewUpdate returns what an update would store.
func (n *node) previewUpdate(stored, update *corev1.Node, drain *bool) *corev1.Node {
	preview := stored.DeepCopy()
	preview.Labels = update.Labels
	if drain != nil {
		preview.Spec.Unschedulable = *drain || n.inventory != nil && n.inventory.Spec.Unschedulable
	}
	return preview
}
