package store

import (
	"fmt"
	"strings"

	"github.com/tidwall/btree"

	"heathshed/placer"
)

// Snapshot is a table as it was at one revision.
type Snapshot struct {
	Resource Resource
	Rev      int64
	objects  *btree.Map[string, *Change]
	keptAt   placer.Seconds // Unix time of the last KeepSnapshot
}

// Snapshot returns a table as it is now. The cost does not depend on the number of objects.
func (s *Store) Snapshot(r Resource) Snapshot {
	return Snapshot{Resource: r, Rev: s.revision, objects: s.tables[r].objects.Copy()}
}

// Limits of kept snapshots.
const (
	maxSnapshots      = 64
	snapshotRetention = placer.Seconds(300)
)

// KeepSnapshot keeps a snapshot for the next pages of a list. The one kept longest ago is dropped if there are too many.
func (s *Store) KeepSnapshot(now placer.Seconds, snapshot Snapshot) {
	s.expireSnapshots(now)
	for i := range s.snapshots {
		kept := &s.snapshots[i]
		if kept.Rev == snapshot.Rev && kept.Resource == snapshot.Resource {
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

// expireSnapshots drops the snapshots that are too old.
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

// Outdated reports whether the history no longer reaches back to a snapshot. A reader that still uses it keeps objects in memory that are
// needed for nothing else.
func (s *Store) Outdated(snapshot Snapshot) bool {
	return snapshot.Rev < s.tables[snapshot.Resource].lastDropped
}

// FindSnapshot returns a kept snapshot, or a new one if the revision is the present one. The error is ErrExpired.
func (s *Store) FindSnapshot(now placer.Seconds, r Resource, revision int64) (Snapshot, error) {
	s.expireSnapshots(now)
	for _, snapshot := range s.snapshots {
		if snapshot.Rev == revision && snapshot.Resource == r {
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

// Scan visits the objects of a namespace, "" for all, whose key is above after, in order of key. Each is passed as its last change. It ends
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
