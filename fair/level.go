package fair

import "math"

// maxMinLevel returns the level at which the rates, each cut off at the level, add up to the capacity. It is
// infinite if the capacity suffices for all. The order of rates is changed.
//
// Each pass drops the rates that are below the mean share of the others, which stay below it, so that few
// passes over fewer and fewer rates are needed.
func maxMinLevel(rates []float64, capacity float64) float64 {
	above := rates
	for len(above) > 0 {
		level := capacity / float64(len(above))
		kept := above[:0]
		for _, r := range above {
			if r > level {
				kept = append(kept, r)
			} else {
				capacity -= r
			}
		}
		if len(kept) == len(above) {
			return level
		}
		above = kept
	}
	return math.Inf(1)
}
