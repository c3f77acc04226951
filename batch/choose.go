package batch

import "time"

// Every VM chooses a shard for each stage that it submits. The choice answers
// three loads: requests that arrive unevenly, where the shard with the shorter
// queue serves them earlier; large intermediate results, which should stay in
// the failure domain in which they are read; and an owner that does not respond,
// whose work would wait until the membership replaces it.

// offer is a shard as a submitter knows it.
type offer struct {
	shard
	wait time.Duration // Estimated queue wait.
	// avoid means that the owner does not respond, or that it has rejected this
	// work.
	avoid bool
}

// chooseShard returns the index of the offer to which work should be submitted:
// that with the lowest cost of two drawn at random in proportion to their targets
// and the one in the preferred failure domain. Two draws instead of all offers
// keep the VMs, which know about the same waits, from choosing the same shard.
// Draw returns a random number from 0 up to n. Offers must not be empty. Those to
// avoid are chosen only if there are no others.
func chooseShard(offers []offer, w Work, draw func(n int) int) int {
	weights := make([]int, len(offers))
	total := weigh(offers, weights, false)
	if total == 0 {
		total = weigh(offers, weights, true)
	}
	best := -1
	consider := func(i int) {
		if best < 0 || cost(offers[i], w) < cost(offers[best], w) {
			best = i
		}
	}
	consider(drawWeighted(weights, draw(total)))
	consider(drawWeighted(weights, draw(total)))
	for i, o := range offers {
		if weights[i] > 0 && o.domain == w.Domain {
			consider(i)
		}
	}
	return best
}

// weigh sets the weight of each offer and returns their sum. Offers to avoid
// have the weight zero unless all is set.
func weigh(offers []offer, weights []int, all bool) int {
	total := 0
	for i, o := range offers {
		weights[i] = 0
		if all || !o.avoid {
			weights[i] = max(1, o.targets)
		}
		total += weights[i]
	}
	return total
}

// drawWeighted returns the index at which the running sum of the weights exceeds
// n, which is less than their sum.
func drawWeighted(weights []int, n int) int {
	for i, w := range weights {
		if n < w {
			return i
		}
		n -= w
	}
	return len(weights) - 1
}

// cost returns the queue wait at a shard, plus the wait that keeping a large
// transfer within its failure domain is worth.
func cost(o offer, w Work) time.Duration {
	if w.Crossing < largeTransfer || w.Domain == "" || w.Domain == o.domain {
		return o.wait
	}
	return o.wait + preferredDomainTimeout
}
