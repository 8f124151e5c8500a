package store

import (
	"fmt"
	"strings"

	"github.com/tidwall/btree"

	"heathshed/placer"
)

// Snapshot is the state of a table at one revision. It is not affected by later changes.
type Snapshot struct {
	Resource Resource
	Revision int64
	objects  *btree.Map[string, *Change]
	keptAt   placer.Seconds // Unix time of the last KeepSnapshot
}

// Snapshot returns the present state of a table. Its cost does not depend on the number of objects, since trees are copied on write.
func (s *Store) Snapshot(r Resource) Snapshot {
	return Snapshot{Resource: r, Revision: s.revision, objects: s.tables[r].objects.Copy()}
}

// Limits of kept snapshots.
const (
	maxSnapshots      = 64
	snapshotRetention = placer.Seconds(300)
)

// KeepSnapshot keeps a snapshot for the next pages of a list. If there are too many, the first of the kept ones is dropped.
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

// expireSnapshots drops the kept snapshots that are too old or outdated.
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

// Outdated reports whether the revision of a snapshot has left the history. A reader that still uses the snapshot keeps objects in memory that
// are needed for nothing else.
func (s *Store) Outdated(snapshot Snapshot) bool {
	return snapshot.Revision < s.tables[snapshot.Resource].lastDropped
}

// FindSnapshot returns a kept snapshot, or a new one if the revision is the present one. The error is ErrExpired.
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

// Len returns the number of objects.
func (sn Snapshot) Len() int { return sn.objects.Len() }

// Scan visits the objects of a namespace, "" for all, whose key is above after, in order of key. Each object is passed as its last change. Scan
// ends when visit returns false.
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
