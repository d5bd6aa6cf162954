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

// total returns the tokens of all waiting reservations.
func (w waitingReservations) total() int64 {
	total := int64(0)
	for _, tokens := range w {
		total += tokens
	}
	return total
}
