package escrow

// waitingReservations holds the tokens of each reservation that waits for a larger
// share or a higher spending limit.
type waitingReservations map[*Reservation]int64

// largest returns the tokens of the largest waiting reservation, 0 if none waits.
func (w waitingReservations) largest() int64 {
	largest := int64(0)
	for _, tokens := range w {
		largest = max(largest, tokens)
	}
	return largest
}

// smallest returns the tokens of the smallest waiting reservation, and false if none waits.
func (w waitingReservations) smallest() (smallest int64, waits bool) {
	for _, tokens := range w {
		if !waits || tokens < smallest {
			smallest, waits = tokens, true
		}
	}
	return smallest, waits
}

// total returns the tokens of all waiting reservations.
func (w waitingReservations) total() int64 {
	total := int64(0)
	for _, tokens := range w {
		total += tokens
	}
	return total
}
