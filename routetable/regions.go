package routetable

import "slices"

// Regions are the regions in which requests may run; none means any.
type Regions []string

// Allows reports whether requests may run in a region. One that isn't known is none
// of those that are named.
func (r Regions) Allows(region string) bool {
	return len(r) == 0 || slices.Contains(r, region)
}
