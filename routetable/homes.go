package routetable

import "slices"

// Homes are the regions in which requests may run; none means any.
type Homes []string

// Allow reports whether requests may run in a region. A region that isn't known is no
// home.
func (h Homes) Allow(region string) bool {
	return len(h) == 0 || slices.Contains(h, region)
}
