// Package declared defines the objects that operators declare (ModelPool,
// WorkspacePolicy, BackendServerSet, ServiceLevel), their validation, and the
// Catalog, which holds the versioned state of these objects that one process
// has in force.
//
// Rules of the Catalog; invariants check the first two:
//
//   - The version of an object that is in force only increases. A deletion is
//     a version too.
//   - For each kind the Catalog keeps a complete-through revision: it has
//     every live object up to that revision. An object at or below it that the
//     Catalog does not hold was deleted, so a lagging peer cannot restore it.
//     A tombstone at or below it is kept only for peers that pull, and at most
//     Config.MaxTombstones are kept.
//   - An invalid version of an object is rejected with the paths of its
//     faults. The last valid version that this process received stays in
//     force, even if the object was deleted and recreated in between and the
//     process missed it.
//   - Readers take no lock: the state is an immutable value that is replaced.
//
// Freshness describes the guarantees for a process that starts empty during an
// outage of the store.
package declared
