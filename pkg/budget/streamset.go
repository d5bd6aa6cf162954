package budget

import "slices"

// StreamSet is a set of stream numbers of one grant. It is compact while the
// numbers are added nearly in order.
type StreamSet struct {
	Below int64   `json:"below"`           // all numbers below this one are in the set
	Above []int64 `json:"above,omitempty"` // numbers in the set above Below, in ascending order
}

// Add returns the set with n added. It does not change the receiver.
func (s StreamSet) Add(n int64) StreamSet {
	if s.Contains(n) {
		return s
	}
	i, _ := slices.BinarySearch(s.Above, n)
	above := slices.Insert(slices.Clone(s.Above), i, n)
	below := s.Below
	for len(above) > 0 && above[0] == below {
		below++
		above = above[1:]
	}
	return StreamSet{Below: below, Above: above}
}

// Contains reports whether n is in the set.
func (s StreamSet) Contains(n int64) bool {
	if n < s.Below {
		return true
	}
	_, found := slices.BinarySearch(s.Above, n)
	return found
}

// Missing returns the numbers below limit that are not in the set.
func (s StreamSet) Missing(limit int64) []int64 {
	var missing []int64
	for n := s.Below; n < limit; n++ {
		if !s.Contains(n) {
			missing = append(missing, n)
		}
	}
	return missing
}
