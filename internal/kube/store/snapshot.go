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
	keptAt   placer.Seconds // Unix time of the last call of KeepSnapshot for this snapshot
}

// Snapshot returns the present state of a table. Its cost does not depend on the number of objects, because
// the tree of a table is copied on write.
func (s *Store) Snapshot(r Resource) Snapshot {
	return Snapshot{Resource: r, Revision: s.revision, objects: s.tables[r].objects.Copy()}
}

// Limits of the snapshots that are kept for the pages of lists.
const (
	maxSnapshots      = 64
	snapshotRetention = placer.Seconds(300)
)

// KeepSnapshot keeps a snapshot, so that a client that reads a list in pages gets all pages from the same
// state. If the maximum number of snapshots is reached, the one that was kept first is dropped.
func (s *Store) KeepSnapshot(now placer.Seconds, snapshot Snapshot) {
	s.expireSnapshots(now)
	for i := range s.snapshots {
		kept := &s.snapshots[i]
		if kept.Revision == snapshot.Revision && kept.Resource == snapshot.Resource {
			kept.keptAt = now
			return
		}
	}
	snapshot.keptAt = now
	if len(s.snapshots) >= maxSnapshots {
		s.snapshots = append(s.snapshots[:0], s.snapshots[1:]...)
	}
	s.snapshots = append(s.snapshots, snapshot)
}

// expireSnapshots drops the kept snapshots that are older than the retention period or outdated.
func (s *Store) expireSnapshots(now placer.Seconds) {
	remaining := 0
	for _, snapshot := range s.snapshots {
		if now-snapshot.keptAt <= snapshotRetention && !s.Outdated(snapshot) {
			s.snapshots[remaining] = snapshot
			remaining++
		}
	}
	clear(s.snapshots[remaining:])
	s.snapshots = s.snapshots[:remaining]
}

// Outdated reports whether the history no longer reaches back to the revision of a snapshot. A reader of an
// outdated snapshot keeps objects in memory that nothing else needs.
func (s *Store) Outdated(snapshot Snapshot) bool {
	return snapshot.Revision < s.tables[snapshot.Resource].lastDropped
}

// FindSnapshot returns the kept snapshot of a table at a revision, or a new snapshot if the revision is the
// present one. Otherwise, it returns ErrExpired.
func (s *Store) FindSnapshot(now placer.Seconds, r Resource, revision int64) (Snapshot, error) {
	s.expireSnapshots(now)
	for _, snapshot := range s.snapshots {
		if snapshot.Revision == revision && snapshot.Resource == r {
			return snapshot, nil
		}
	}
	if revision == s.revision {
		return s.Snapshot(r), nil
	}
	return Snapshot{}, fmt.Errorf("%s: revision %d: %w", r, revision, ErrExpired)
}

// Len returns the number of objects in the snapshot.
func (sn Snapshot) Len() int { return sn.objects.Len() }

// Scan calls visit for each object of a namespace, or of all namespaces if namespace is empty, in the order
// of the keys. It skips keys up to and including after. visit gets the last change of the object. Scan ends
// when visit returns false.
func (sn Snapshot) Scan(namespace, after string, visit func(key string, change *Change) bool) {
	prefix := ""
	if namespace != "" {
		prefix = namespace + "/"
	}
	sn.objects.Ascend(max(prefix, after), func(key string, change *Change) bool {
		if !strings.HasPrefix(key, prefix) {
			return false
		}
		return key == after || visit(key, change)
	})
}
