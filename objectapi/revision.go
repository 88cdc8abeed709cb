package objectapi

import "strconv"

// A revision of the product orders everything that the store ever acknowledged: first by the era of the
// store, which rises by one when it comes back from an older copy, then by the store's own revision, whose
// numbers are given out again in each era. Both are packed into one number, so that each comparison of
// revisions, versions and fencing numbers, in whatever process, orders by both. Only the client of the
// store packs and unpacks.
const (
	// numberBits is the width of the store's own revision: a million writes a second for 12 days, or
	// 400 a second for 87 years.
	numberBits = 40
	numberMask = 1<<numberBits - 1
)

// JoinRevision returns the revision with the store's number in an era. The era of a store that names
// none is 0.
func JoinRevision(era, number uint64) uint64 { return era<<numberBits | number&numberMask }

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> numberBits }

// NumberOf returns the store's own number of a revision.
func NumberOf(revision uint64) uint64 { return revision & numberMask }

// FormatRevision returns a revision for people: NUMBER, or ERA.NUMBER if the store has named an era.
func FormatRevision(revision uint64) string {
	number := strconv.FormatUint(NumberOf(revision), 10)
	if era := EraOf(revision); era > 0 {
		return strconv.FormatUint(era, 10) + "." + number
	}
	return number
}
