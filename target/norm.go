package target

import "time"

// norm is the usual value of a latency. It falls quickly and rises slowly, so
// that a congested spell does not become the usual value at once.
type norm struct {
	value   float64
	samples int
}

const (
	normFall = 0.2
	normRise = 0.01
)

// ratio returns the sample over the norm, 1 while the norm is not known.
func (n *norm) ratio(sample time.Duration) float64 {
	if n.samples < minimumSamples || sample <= 0 || n.value <= 0 {
		return 1
	}
	return float64(sample) / n.value
}

func (n *norm) add(sample time.Duration) {
	if sample <= 0 {
		return
	}
	n.samples++
	if n.samples == 1 {
		n.value = float64(sample)
		return
	}
	gain := normRise
	if float64(sample) < n.value {
		gain = normFall
	}
	n.value += gain * (float64(sample) - n.value)
}
