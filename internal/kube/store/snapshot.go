package store

import (
	"fmt"
	"strings"

	"github.com/tidwall/btree"

	"heathshed/placer"
)

// Snapshot is the state of one table at one revision. Later changes of the table do not affect it.
type Snapshot struct {
	Resource Resource
	Revision int64
	objects  *btree.Map[string, *Change]
	keptAt   placer.Seconds // Unix time at which KeepSnapshot was last called for this snapshot
}

// Snapshot returns the present state of a table. The time that it takes does not depend on the number of
// objects, because the tree of a table is copied on write.
func (s *Store) Snapshot(resource Resource) Snapshot {
	return Snapshot{Resource: resource, Revision: s.revision, objects: s.tables[resource].objects.Copy()}
}

// These constants limit the snapshots that are kept for clients that read a list in pages.
const (
	maxSnapshots      = 64                  // maximum number of kept snapshots
	snapshotRetention = placer.Seconds(300) // time for which a snapshot is kept after its last use
)

// KeepSnapshot keeps a snapshot for a client that reads a list in pages. All pages must show the same state
// of the table. If the maximum number of snapshots is reached, the snapshot that was kept first is dropped.
func (s *Store) KeepSnapshot(now placer.Seconds, snapshot Snapshot) {
	s.expireSnapshots(now)
	for i := range s.keptSnapshots {
		keptSnapshot := &s.keptSnapshots[i]
		if keptSnapshot.Revision == snapshot.Revision && keptSnapshot.Resource == snapshot.Resource {
			keptSnapshot.keptAt = now
			return
		}
	}
	snapshot.keptAt = now
	if len(s.keptSnapshots) >= maxSnapshots {
		s.keptSnapshots = append(s.keptSnapshots[:0], s.keptSnapshots[1:]...)
	}
	s.keptSnapshots = append(s.keptSnapshots, snapshot)
}

// expireSnapshots drops the kept snapshots that are outdated or whose retention time has passed.
func (s *Store) expireSnapshots(now placer.Seconds) {
	keptCount := 0
	for _, snapshot := range s.keptSnapshots {
		if now-snapshot.keptAt <= snapshotRetention && !s.Outdated(snapshot) {
			s.keptSnapshots[keptCount] = snapshot
			keptCount++
		}
	}
	clear(s.keptSnapshots[keptCount:])
	s.keptSnapshots = s.keptSnapshots[:keptCount]
}

// Outdated reports whether the history no longer reaches back to the revision of a snapshot. An outdated
// snapshot should not be used any longer, because it keeps objects in memory that nothing else needs.
func (s *Store) Outdated(snapshot Snapshot) bool {
	return snapshot.Revision < s.tables[snapshot.Resource].lastDroppedRevision
}

// FindSnapshot returns the kept snapshot of a table at a revision. If there is none and the revision is the
// present one, it returns a new snapshot. Otherwise it returns ErrExpired.
func (s *Store) FindSnapshot(now placer.Seconds, resource Resource, revision int64) (Snapshot, error) {
	s.expireSnapshots(now)
	for _, snapshot := range s.keptSnapshots {
		if snapshot.Revision == revision && snapshot.Resource == resource {
			return snapshot, nil
		}
	}
	if revision == s.revision {
		return s.Snapshot(resource), nil
	}
	return Snapshot{}, fmt.Errorf("%s: revision %d: %w", resource, revision, ErrExpired)
}

// Len returns the number of objects in the snapshot.
func (s Snapshot) Len() int { return s.objects.Len() }

// Scan calls visit for each object of a namespace, or of all namespaces if namespace is empty, in the order
// of the keys. It skips all keys that are not greater than after. The argument change of visit is the last
// change of the object. Scan ends when visit returns false.
func (s Snapshot) Scan(namespace, after string, visit func(key string, change *Change) bool) {
	prefix := ""
	if namespace != "" {
		prefix = namespace + "/"
	}
	s.objects.Ascend(max(prefix, after), func(key string, change *Change) bool {
		if !strings.HasPrefix(key, prefix) {
			return false
		}
		return key == after || visit(key, change)
	})
}
