package member

import (
	"math"
	"math/bits"
	"time"
)

// Settings holds the timings and limits of the protocol. A zero field takes the
// default given in its comment.
type Settings struct {
	ProbeInterval time.Duration // Time between probes; 250 ms.
	// ProbeTimeout is the time without a response from a VM of the same region
	// after which indirect probes are requested, and RemoteProbeTimeout that for
	// other regions. A probe fails after twice this time. 150 ms and 500 ms.
	ProbeTimeout       time.Duration
	RemoteProbeTimeout time.Duration
	IndirectProbes     int // VMs that are requested to probe on behalf of this VM; 3.
	// SuspicionMultiplier determines the time after which a suspect is declared
	// dead: so many probe intervals, times log10 of the fleet size plus one, but at
	// least times one. 4.
	SuspicionMultiplier int
	SyncInterval        time.Duration // Time between table syncs with a random VM; 10 s.
	ReconnectInterval   time.Duration // Time between attempts to reach a VM that is dead or known only as a seed; 2 s.
	JoinTimeout         time.Duration // Time to wait for a response from a seed before starting alone; 2 s.
	IsolationTimeout    time.Duration // Time without a message after which a VM that cannot reach the store is isolated; 3 s.
	PauseThreshold      time.Duration // Gap between steps above which the process counts as paused; 1 s.
	TombstoneTTL        time.Duration // Time for which a VM that is dead or has left stays in the table; 2 h.
	PiggybackBytes      int           // Bytes of updates on one message; 256.
	BurstBytes          int           // The same while more than burstQueueLength updates are queued; 1000.
	MaxAnnouncements    int           // Maximum number of announcements retained; 1024.
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.ProbeInterval, 250*time.Millisecond)
	setDefault(&s.ProbeTimeout, 150*time.Millisecond)
	setDefault(&s.RemoteProbeTimeout, 500*time.Millisecond)
	setDefault(&s.IndirectProbes, 3)
	setDefault(&s.SuspicionMultiplier, 4)
	setDefault(&s.SyncInterval, 10*time.Second)
	setDefault(&s.ReconnectInterval, 2*time.Second)
	setDefault(&s.JoinTimeout, 2*time.Second)
	setDefault(&s.IsolationTimeout, 3*time.Second)
	setDefault(&s.PauseThreshold, time.Second)
	setDefault(&s.TombstoneTTL, 2*time.Hour)
	setDefault(&s.PiggybackBytes, 256)
	setDefault(&s.BurstBytes, 1000)
	setDefault(&s.MaxAnnouncements, 1024)
	return s
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// suspicionTimeout returns the time within which a suspect must refute the
// suspicion.
func (s Settings) suspicionTimeout(fleetSize int) time.Duration {
	scale := max(1, math.Log10(float64(fleetSize+1)))
	return time.Duration(float64(s.SuspicionMultiplier) * scale * float64(s.ProbeInterval))
}

// burstQueueLength is the number of queued updates above which a message
// carries up to BurstBytes of them.
const burstQueueLength = 32

// messageBudget returns the bytes of updates that one message carries when the
// given number of updates is queued.
func (s Settings) messageBudget(queued int) int {
	if queued > burstQueueLength {
		return s.BurstBytes
	}
	return s.PiggybackBytes
}

// maxTransmissions returns how many times one VM transmits an update.
func maxTransmissions(fleetSize int) int {
	return 2 * bits.Len(uint(fleetSize))
}
