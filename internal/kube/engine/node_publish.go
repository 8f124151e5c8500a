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

// minPublishInterval is the minimum time between two writes of a Node in which only the free capacity
// changes.
const minPublishInterval placer.Seconds = 5

// inventoryLabels are the labels of a Node that only the inventory may set.
var inventoryLabels = []string{wellknown.Zone, wellknown.Rack, wellknown.NodeType}

// publishNode stores a node as the API shows it: the Node of the inventory with the labels and the drain
// request that API clients have set. The free capacity changes often; if nothing else changes, the Node is
// stored at most once per minPublishInterval.
func (p *publisher) publishNode(node *node) {
	if node.inventory == nil {
		p.store.Delete(store.Nodes, "", node.name)
		return
	}
	stored := p.storedNode(node.name)
	fingerprint, known := nodeFingerprint(node.inventory)
	recent := p.now-node.publishedAt < minPublishInterval
	changed := !known || fingerprint != node.publishedFingerprint || node.publishPending
	if stored != nil && !changed && (recent || sameFreeCapacity(stored, node.inventory)) {
		return
	}
	node.beginPublish(fingerprint)
	published := node.apiObject()
	if stored != nil {
		published.ResourceVersion = stored.ResourceVersion
		if equality.Semantic.DeepEqual(stored, published) || recent && onlyFreeCapacityDiffers(stored, published) {
			return
		}
	}
	node.publishedAt = p.now
	p.store.Put(store.Nodes, published)
}

// sameFreeCapacity reports whether two Nodes state the same free capacity.
func sameFreeCapacity(left, right *corev1.Node) bool {
	return left.Annotations[wellknown.FreeCapacity] == right.Annotations[wellknown.FreeCapacity]
}

// onlyFreeCapacityDiffers reports whether two versions of a Node differ only in their free capacity. If it
// returns true, it has set the free capacity of published to that of stored.
func onlyFreeCapacityDiffers(stored, published *corev1.Node) bool {
	if published.Annotations == nil {
		return false // Without annotations, there is no free capacity that could differ.
	}
	free := published.Annotations[wellknown.FreeCapacity]
	published.Annotations[wellknown.FreeCapacity] = stored.Annotations[wellknown.FreeCapacity]
	if equality.Semantic.DeepEqual(stored, published) {
		return true
	}
	published.Annotations[wellknown.FreeCapacity] = free
	return false
}

// apiObject returns a new Node object for the node as the API shows it.
func (n *node) apiObject() *corev1.Node {
	object := n.inventory.DeepCopy()
	if n.labelOverride != nil {
		object.Labels = maps.Clone(n.labelOverride)
		for _, key := range inventoryLabels {
			if value, ok := n.inventory.Labels[key]; ok {
				object.Labels[key] = value
			}
		}
	}
	object.Spec.Unschedulable = object.Spec.Unschedulable || n.drainRequested
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

// nodeFingerprint returns a hash of a Node of the inventory, without its free capacity and its resource
// version. ok is false if the Node cannot be encoded.
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
