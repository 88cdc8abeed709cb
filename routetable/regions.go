package routetable

import "slices"

// Regions lists the regions in which requests may run; an empty list allows all.
type Regions []string

// Allows reports whether requests may run in a region. An unknown (empty) region is
// allowed only if the list is empty.
func (r Regions) Allows(region string) bool {
	return len(r) == 0 || slices.Contains(r, region)
}
