package engine

import (
	"maps"

	corev1 "k8s.io/api/core/v1"

	"heathshed/placer"
)

// updateNode implements Engine.UpdateNode: it changes the labels and the drain request of a node.
func (r *nodeRegistry) updateNode(update *corev1.Node, drain *bool, dryRun bool) (*corev1.Node, error) {
	node := r.byName[update.Name]
	storedNode := r.publisher.storedNode(update.Name)
	if node == nil || storedNode == nil {
		return nil, ErrNotFound
	}
	if err := checkPreconditions(storedNode, update.UID, update.ResourceVersion); err != nil {
		return nil, err
	}
	if invalidErr := validateNodeUpdate(storedNode, update); invalidErr != nil {
		return nil, invalidErr
	}
	if dryRun {
		return node.previewUpdate(storedNode, update, drain), nil
	}
	if !maps.Equal(update.Labels, storedNode.Labels) {
		node.overrideLabels(update.Labels)
	}
	if drain != nil && *drain != node.drainRequested {
		node.setDrainRequested(*drain)
		r.post(placer.Event{Kind: placer.NodesListed, List: placer.Changes, Nodes: []placer.Node{r.refreshPlacerNode(node)}})
		r.drainEvents()
	}
	r.publisher.publishNode(node)
	return r.publisher.storedNode(update.Name), nil
}

// validateNodeUpdate returns an error if an update changes one of the labels that only the inventory may
// set.
func validateNodeUpdate(storedNode, update *corev1.Node) *InvalidError {
	for _, key := range inventoryLabels {
		if update.Labels[key] != storedNode.Labels[key] {
			return &InvalidError{
				Field:  "metadata.labels[" + key + "]",
				Detail: "the inventory sets the zone, the rack and the type of a node; they cannot be changed here",
				Value:  update.Labels[key],
			}
		}
	}
	return nil
}

// previewUpdate returns the Node object that an update would store. updateNode uses it for dry runs.
func (n *node) previewUpdate(storedNode, update *corev1.Node, drain *bool) *corev1.Node {
	preview := storedNode.DeepCopy()
	preview.Labels = update.Labels
	if drain != nil {
		preview.Spec.Unschedulable = *drain || n.inventoryNode != nil && n.inventoryNode.Spec.Unschedulable
	}
	return preview
}
