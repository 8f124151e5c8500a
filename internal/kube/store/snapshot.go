package store

import (
	"fmt"
	"strings"

	"github.com/tidwall/btree"

	"heathshed/placer"
)

// Snapshot is the state that a table had at one revision. Later changes of the table do not affect the
// Snapshot.
type Snapshot struct {
	Resource Resource
	Revision int64
	objects  *btree.Map[string, *Change]
	keptAt   placer.Seconds // Unix time of the last call of KeepSnapshot for this snapshot
}

// Snapshot returns the present state of a table. The time for this call does not depend on the number of
// objects, because the tree of the table is copied only when it is modified (copy on write).
func (s *Store) Snapshot(resource Resource) Snapshot {
	return Snapshot{Resource: resource, Revision: s.revision, objects: s.tables[resource].objects.Copy()}
}

// These constants limit the snapshots that are kept for clients that read a list in pages.
const (
	maxSnapshots      = 64                  // maximum number of kept snapshots
	snapshotRetention = placer.Seconds(300) // time for which a snapshot is kept after the last KeepSnapshot
)

// KeepSnapshot keeps a snapshot for a client that reads a list in pages, because all pages must show the
// same state of the table. If the maximum number of snapshots is reached, KeepSnapshot drops the snapshot
// that was added first.
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

// Outdated reports whether the history of the table no longer reaches back to the revision of a snapshot.
// The caller should drop an outdated snapshot, because the snapshot keeps objects in memory that nothing
// else needs.
func (s *Store) Outdated(snapshot Snapshot) bool {
	return snapshot.Revision < s.tables[snapshot.Resource].lastDroppedRevision
}

// FindSnapshot returns the kept snapshot of a table at the given revision. If there is none but the
// revision is the present one, FindSnapshot returns a new snapshot. Otherwise it returns an error that
// wraps ErrExpired.
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

// Scan calls visit for the objects of a namespace in the order of their keys. If namespace is empty, Scan
// calls visit for the objects of all namespaces. It considers only objects whose keys are greater than
// after. visit receives the key and the last change of an object. Scan ends when visit returns false.
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
