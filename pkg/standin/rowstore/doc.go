// Package rowstore is a stand-in of a partitioned transactional table service in
// memory, with the faults of a real one: it is out of reach for some hosts,
// refuses calls, loses replies, applies transactions late, answers slowly and
// forgets the history of its feeds.
package rowstore
