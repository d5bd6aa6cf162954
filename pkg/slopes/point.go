package slopes

// Point is one measurement: a cost y at a size x.
type Point struct {
	X float64
	Y float64
}
