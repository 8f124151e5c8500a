// Package store keeps API objects, as etcd does for the Kubernetes API server. Each change of an object
// gets a revision. A request that lists objects is answered from a consistent snapshot. A request that
// watches objects is answered from a bounded history of changes.
//
// Package engine writes to the store of a scheduler, and package api reads from it. In tests, package
// emulator emulates nodes and the inventory, which is the server that lists all nodes. Each emulated node
// and the emulated inventory has a store of its own.
//
// The package uses no I/O, no clock and no goroutines. Only one goroutine at a time may use a Store, but
// several goroutines may read the same Snapshot. Stored objects must not be modified.
//
// New readers should start with Store.Put, which records a Change, with Store.ChangesSince, which serves
// watch requests, and with Snapshot in snapshot.go, which serves list requests.
package store

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/btree"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime"
)

// Object is an object of the Kubernetes API.
type Object interface {
	metav1.Object
	runtime.Object
}

// Resource identifies a type of objects and the table in which the store keeps them.
type Resource uint8

// The store has a table for each of these resources.
const (
	Jobs Resource = iota
	Pods
	Nodes
	Namespaces
	resourceCount
)

var resourceNames = [resourceCount]string{"jobs", "pods", "nodes", "namespaces"}

// String returns the plural name that the API uses for the resource.
func (r Resource) String() string { return resourceNames[r] }

// Op states what a change has done to an object.
type Op uint8

// A change has added, modified or deleted its object.
const (
	Added Op = iota
	Modified
	Deleted
)

// Change is one entry in the history of a table.
type Change struct {
	Revision int64
	Op       Op
	Object   Object // object after the change; if Op is Deleted, its last state with the revision of the deletion
	Previous Object // object before the change; nil if Op is Added

	// JSON and Binary are cached encodings of Object, or nil. The first reader that needs an encoding sets
	// it, and the other readers then do not have to encode Object again.
	JSON   []byte
	Binary []byte

	cost int64 // estimated memory use of the change in bytes, as returned by Cost
}

// Methods that read from the store return these errors. The API server sends the texts of the errors to
// clients.
var (
	// ErrExpired means that the history of the table no longer reaches back to the requested revision. The
	// client must list the objects again.
	ErrExpired = errors.New("the revision is older than the history that is kept")
	// ErrFuture means that the requested revision does not exist yet.
	ErrFuture = errors.New("the revision lies in the future")
)

// Store is a set of tables whose changes get their revisions from one common sequence. It owns the
// objects, the histories of changes, and the snapshots that are kept for clients.
type Store struct {
	revision       int64
	tables         [resourceCount]table
	historyLength  int        // maximum number of changes that the history of each table keeps
	maxHistoryCost int64      // maximum total cost of the histories of all tables in bytes; 0 means no limit
	keptSnapshots  []Snapshot // snapshots for clients that read a list in pages
}

// New returns an empty Store. All its revisions are greater than base, and the history of each table keeps
// at most historyLength changes. If every process passes a base that grows with time, a restarted process
// uses greater revisions than the process before it.
func New(base int64, historyLength int) *Store { return NewBounded(base, historyLength, 0) }

// NewBounded returns a Store like New. In addition, it limits the total cost of the histories of all
// tables to maxHistoryCost bytes, as estimated by Cost. The histories then keep fewer changes if the
// objects are large. A maxHistoryCost of 0 means no limit.
func NewBounded(base int64, historyLength int, maxHistoryCost int64) *Store {
	s := &Store{revision: base, historyLength: max(historyLength, 1), maxHistoryCost: maxHistoryCost}
	for i := range s.tables {
		s.tables[i].lastDroppedRevision = base
	}
	return s
}

// Revision returns the revision of the last change in any table.
func (s *Store) Revision() int64 { return s.revision }

// Key returns the key under which a table stores the object with the given namespace and name.
func Key(namespace, name string) string { return namespace + "/" + name }

// Get returns the stored object with the given name, or nil if there is none.
func (s *Store) Get(resource Resource, namespace, name string) Object {
	if change := s.LastChange(resource, namespace, name); change != nil {
		return change.Object
	}
	return nil
}

// LastChange returns the last change of a stored object, or nil if there is no stored object with the
// given name.
func (s *Store) LastChange(resource Resource, namespace, name string) *Change {
	change, _ := s.tables[resource].objects.Get(Key(namespace, name)) // Get returns nil if the key is not stored.
	return change
}

// Len returns the number of objects in a table.
func (s *Store) Len(resource Resource) int { return s.tables[resource].objects.Len() }

// Cost uses these values for its estimate. The estimate is too high rather than too low.
const (
	costPerObject = 2048 // number of bytes for an object in addition to its fields
	costPerByte   = 5    // number of bytes for the fields and the cached encodings, per byte of the binary encoding
)

// Cost returns an upper estimate of the memory in bytes that a stored object and its cached encodings use.
func Cost(object Object) int64 {
	size := 0
	if sized, ok := object.(interface{ Size() int }); ok {
		size = sized.Size()
	}
	return costPerObject + costPerByte*int64(size)
}

// ObjectCost returns the total cost of all stored objects in bytes, as estimated by Cost.
func (s *Store) ObjectCost() (total int64) {
	for i := range s.tables {
		total += s.tables[i].objectCost
	}
	return total
}

// HistoryCost returns the total cost of the changes in the histories of all tables in bytes, as estimated
// by Cost.
func (s *Store) HistoryCost() (total int64) {
	for i := range s.tables {
		total += s.tables[i].historyCost
	}
	return total
}

// Put adds or replaces an object, sets the resource version of the object, and returns the revision of the
// change. The caller must not modify the object afterwards.
func (s *Store) Put(resource Resource, object Object) int64 {
	table := &s.tables[resource]
	s.revision++
	object.SetResourceVersion(strconv.FormatInt(s.revision, 10))
	change := &Change{Revision: s.revision, Op: Added, Object: object, cost: Cost(object)}
	if previous, replaced := table.objects.Set(Key(object.GetNamespace(), object.GetName()), change); replaced {
		change.Op = Modified
		change.Previous = previous.Object
		table.objectCost -= previous.cost
	}
	table.objectCost += change.cost
	table.appendChange(change, s.historyLength)
	s.trimHistories()
	return s.revision
}

// Delete removes the object with the given name. It returns false if there is no such object.
func (s *Store) Delete(resource Resource, namespace, name string) bool {
	table := &s.tables[resource]
	previous, ok := table.objects.Delete(Key(namespace, name))
	if !ok {
		return false
	}
	s.revision++
	lastState := previous.Object.DeepCopyObject().(Object)
	lastState.SetResourceVersion(strconv.FormatInt(s.revision, 10))
	table.objectCost -= previous.cost
	change := &Change{Revision: s.revision, Op: Deleted, Object: lastState, Previous: previous.Object, cost: previous.cost}
	table.appendChange(change, s.historyLength)
	s.trimHistories()
	return true
}

// trimHistories drops old changes until the total cost of the histories of all tables is within its limit.
// It always drops the oldest change of the history that has the highest cost at this time. Each history
// keeps its last change, because a watch that has read all changes must not expire.
func (s *Store) trimHistories() {
	for s.maxHistoryCost > 0 && s.HistoryCost() > s.maxHistoryCost {
		costliestTable := s.tableWithCostliestHistory()
		if costliestTable == nil {
			return
		}
		costliestTable.trimHistory(costliestTable.historyLength() - 1)
	}
}

// tableWithCostliestHistory returns the table whose history has the highest cost. It considers only
// histories with at least two changes, and returns nil if there are none.
func (s *Store) tableWithCostliestHistory() *table {
	var costliestTable *table
	for i := range s.tables {
		table := &s.tables[i]
		if table.historyLength() <= 1 {
			continue
		}
		if costliestTable == nil || table.historyCost > costliestTable.historyCost {
			costliestTable = table
		}
	}
	return costliestTable
}

// ChangesSince returns the changes of a table that are newer than the given revision, the oldest change
// first. It returns at most limit changes. The slice is valid until the next change of the store. A
// possible error wraps ErrExpired or ErrFuture.
func (s *Store) ChangesSince(resource Resource, revision int64, limit int) ([]*Change, error) {
	table := &s.tables[resource]
	if revision < table.lastDroppedRevision {
		return nil, fmt.Errorf("%s: revision %d: %w (%d)", resource, revision, ErrExpired, table.lastDroppedRevision)
	}
	if revision > s.revision {
		return nil, fmt.Errorf("%s: revision %d: %w (%d)", resource, revision, ErrFuture, s.revision)
	}
	return table.changesAfter(revision, limit), nil
}

// table holds the objects of one resource and the history of their changes.
type table struct {
	objects    btree.Map[string, *Change] // for the Key of each stored object, the last change of the object
	objectCost int64                      // total cost of the stored objects in bytes

	history             []*Change // changes in the order of their revisions; entries before firstKeptIndex are nil
	firstKeptIndex      int       // index of the oldest kept change in history
	historyCost         int64     // total cost of the kept changes in bytes
	lastDroppedRevision int64     // revision of the last change that was dropped from the history
}

func (t *table) historyLength() int { return len(t.history) - t.firstKeptIndex }

// appendChange appends a change to the history of the table. It then drops old changes until the history
// has at most the given length.
func (t *table) appendChange(change *Change, length int) {
	t.history = append(t.history, change)
	t.historyCost += change.cost
	t.trimHistory(length)
}

// minCompaction limits how often a history is copied. A history starts with nil entries for dropped
// changes. Copying removes these entries and frees their memory, but does not take place while their
// number is at most minCompaction.
const minCompaction = 1024

// trimHistory drops the oldest changes until the history of the table has at most the given length.
func (t *table) trimHistory(length int) {
	for t.historyLength() > length {
		droppedChange := t.history[t.firstKeptIndex]
		t.lastDroppedRevision = droppedChange.Revision
		t.historyCost -= droppedChange.cost
		t.history[t.firstKeptIndex] = nil
		t.firstKeptIndex++
		if t.firstKeptIndex > minCompaction && t.firstKeptIndex > len(t.history)/2 {
			t.history = append([]*Change(nil), t.history[t.firstKeptIndex:]...)
			t.firstKeptIndex = 0
		}
	}
}

// changesAfter returns the changes in the history that are newer than the given revision, the oldest
// change first. It returns at most limit changes. A binary search finds the oldest of these changes.
func (t *table) changesAfter(revision int64, limit int) []*Change {
	history := t.history[t.firstKeptIndex:]
	if len(history) == 0 || history[len(history)-1].Revision <= revision {
		return nil
	}
	low, high := 0, len(history)
	for low < high {
		middle := (low + high) / 2
		if history[middle].Revision <= revision {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return history[low:min(len(history), low+limit)]
}
