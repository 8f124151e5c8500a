package engine

import (
	"maps"

	corev1 "k8s.io/api/core/v1"

	"heathshed/placer"
)

// updateNode changes the labels and the drain request of a node for Engine.UpdateNode.
func (r *nodeRegistry) updateNode(update *corev1.Node, drain *bool, dryRun bool) (*corev1.Node, error) {
	node := r.byName[update.Name]
	stored := r.publisher.storedNode(update.Name)
	if node == nil || stored == nil {
		return nil, ErrNotFound
	}
	if err := checkPreconditions(stored, update.UID, update.ResourceVersion); err != nil {
		return nil, err
	}
	if invalid := validateNodeUpdate(stored, update); invalid != nil {
		return nil, invalid
	}
	if dryRun {
		return node.previewUpdate(stored, update, drain), nil
	}
	if !maps.Equal(update.Labels, stored.Labels) {
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

// validateNodeUpdate returns an error if an update changes a label that only the inventory may set.
func validateNodeUpdate(stored, update *corev1.Node) *InvalidError {
	for _, key := range inventoryLabels {
		if update.Labels[key] != stored.Labels[key] {
			return &InvalidError{
				Field:  "metadata.labels[" + key + "]",
				Detail: "the inventory sets the zone, the rack and the type of a node; they cannot be changed here",
				Value:  update.Labels[key],
			}
		}
	}
	return nil
}

// previewUpdate returns the Node that an update would store, for a dry run.
func (n *node) previewUpdate(stored, update *corev1.Node, drain *bool) *corev1.Node {
	preview := stored.DeepCopy()
	preview.Labels = update.Labels
	if drain != nil {
		preview.Spec.Unschedulable = *drain || n.inventory != nil && n.inventory.Spec.Unschedulable
	}
	return preview
}
