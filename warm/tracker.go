package warm

import "time"

const (
	recentGain = 0.1
	normFall   = 0.2
	normRise   = 0.005

	slack = float64(20 * time.Millisecond) // Jitter that is no sign of load.
)

// norm compares the recent mean of a latency with its usual value. The usual
// value falls quickly and rises slowly, so that a congested spell does not
// become usual at once. Both are means: one slow call is no congestion.
type norm struct {
	recent  float64
	usual   float64
	samples int
}

// known reports whether enough was seen for a comparison.
func (n *norm) known() bool { return n.samples >= minimumSamples && n.usual > 0 }

// ratio returns a sample over the usual value, 1 while that is not known.
func (n *norm) ratio(sample time.Duration) float64 {
	if !n.known() || sample <= 0 {
		return 1
	}
	return float64(sample) / (n.usual + slack)
}

// excess returns the recent mean over the usual value, 1 while that is not known.
func (n *norm) excess() float64 {
	if !n.known() {
		return 1
	}
	return n.recent / (n.usual + slack)
}

func (n *norm) add(sample time.Duration) {
	if sample <= 0 {
		return
	}
	n.samples++
	if n.samples == 1 {
		n.recent = float64(sample)
		n.usual = n.recent
		return
	}
	n.recent += recentGain * (float64(sample) - n.recent)
	gain := normRise
	if n.recent < n.usual || n.samples < minimumSamples {
		gain = normFall
	}
	n.usual += gain * (n.recent - n.usual)
}

// accept takes the recent mean for the usual value.
func (n *norm) accept() { n.usual = n.recent }

// restart forgets the recent mean, after which the usual value still counts.
func (n *norm) restart() { n.recent = n.usual }

// inheritedNorm returns a norm whose usual value another node has found.
func inheritedNorm(usual float64) norm {
	if usual <= 0 {
		return norm{}
	}
	return norm{recent: usual, usual: usual, samples: minimumSamples}
}
