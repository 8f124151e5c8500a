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

// minPublishInterval is the minimum time between two writes of a Node if only its free capacity has
// changed.
const minPublishInterval placer.Seconds = 5

// inventoryLabels are the labels of a Node that only the inventory may set.
var inventoryLabels = []string{wellknown.Zone, wellknown.Rack, wellknown.NodeType}

// publishNode stores the Node object that the API shows. This is the Node of the inventory with the labels
// and the drain request of API clients. The free capacity of a node changes often. While nothing else
// changes, publishNode stores the Node at most once per minPublishInterval.
func (p *publisher) publishNode(node *node) {
	if node.inventoryNode == nil {
		p.store.Delete(store.Nodes, "", node.name)
		return
	}
	storedNode := p.storedNode(node.name)
	fingerprint, encodable := nodeFingerprint(node.inventoryNode)
	publishedRecently := p.now-node.publishedAt < minPublishInterval
	changed := !encodable || fingerprint != node.publishedFingerprint || node.apiUpdatePending
	if storedNode != nil && !changed && (publishedRecently || sameFreeCapacity(storedNode, node.inventoryNode)) {
		return
	}
	node.beginPublish(fingerprint)
	publishedNode := node.apiObject()
	if storedNode != nil {
		publishedNode.ResourceVersion = storedNode.ResourceVersion
		if equality.Semantic.DeepEqual(storedNode, publishedNode) || publishedRecently && onlyFreeCapacityDiffers(storedNode, publishedNode) {
			return
		}
	}
	node.publishedAt = p.now
	p.store.Put(store.Nodes, publishedNode)
}

// sameFreeCapacity reports whether two Nodes state the same free capacity.
func sameFreeCapacity(left, right *corev1.Node) bool {
	return left.Annotations[wellknown.FreeCapacity] == right.Annotations[wellknown.FreeCapacity]
}

// onlyFreeCapacityDiffers reports whether two versions of a Node differ only in the free capacity. If the
// result is true, publishedNode has been modified: it now has the free capacity of storedNode.
func onlyFreeCapacityDiffers(storedNode, publishedNode *corev1.Node) bool {
	if publishedNode.Annotations == nil {
		return false // The Node states no free capacity, because the free capacity is an annotation.
	}
	newFreeCapacity := publishedNode.Annotations[wellknown.FreeCapacity]
	publishedNode.Annotations[wellknown.FreeCapacity] = storedNode.Annotations[wellknown.FreeCapacity]
	if equality.Semantic.DeepEqual(storedNode, publishedNode) {
		return true
	}
	publishedNode.Annotations[wellknown.FreeCapacity] = newFreeCapacity
	return false
}

// apiObject returns a new Node object that describes the node as the API shows it.
func (n *node) apiObject() *corev1.Node {
	object := n.inventoryNode.DeepCopy()
	if n.labelOverride != nil {
		object.Labels = maps.Clone(n.labelOverride)
		for _, key := range inventoryLabels {
			if value, ok := n.inventoryNode.Labels[key]; ok {
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

// nodeFingerprint returns a hash of a Node of the inventory. The hash ignores the free capacity and the
// resource version. ok is false if the Node cannot be encoded.
func nodeFingerprint(object *corev1.Node) (hash uint64, ok bool) {
	strippedNode := *object
	strippedNode.ResourceVersion = ""
	if _, ok := strippedNode.Annotations[wellknown.FreeCapacity]; ok {
		strippedNode.Annotations = maps.Clone(strippedNode.Annotations)
		delete(strippedNode.Annotations, wellknown.FreeCapacity)
	}
	encoded, err := strippedNode.Marshal()
	return xxhash.Sum64(encoded), err == nil
}
