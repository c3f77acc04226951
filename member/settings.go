package member

import (
	"math"
	"math/bits"
	"time"
)

// Settings holds the times and bounds of the protocol. Zero fields have the
// defaults named here.
type Settings struct {
	ProbeInterval       time.Duration // Time between two probes; 250 ms.
	ProbeTimeout        time.Duration // Wait for an answer in the own region; 150 ms.
	RemoteProbeTimeout  time.Duration // Wait for an answer from another region; 500 ms.
	IndirectProbes      int           // VMs asked to probe in one's place; 3.
	SuspicionMultiplier int           // Periods until a suspect is dead, times log10 of the fleet; 4.
	SyncInterval        time.Duration // Time between comparisons with a random VM; 10 s.
	ReconnectInterval   time.Duration // Time between tries to reach a dead or seeded VM; 2 s.
	JoinTimeout         time.Duration // Wait for an answer from a seed before starting alone; 2 s.
	IsolationTimeout    time.Duration // Silence after which a VM without the store is cut off; 3 s.
	PauseThreshold      time.Duration // Gap between steps that counts as a pause; 1 s.
	TombstoneTTL        time.Duration // Time for which a VM that is gone is remembered; 2 h.
	PiggybackBytes      int           // Bytes of changes on one probe; 256.
	BurstBytes          int           // The same while many changes wait; 1000.
	MaxAnnouncements    int           // Rumours kept; 1024.
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

// suspicionTimeout returns the time that a suspect has to refute.
func (s Settings) suspicionTimeout(fleet int) time.Duration {
	scale := max(1, math.Log10(float64(fleet+1)))
	return time.Duration(float64(s.SuspicionMultiplier) * scale * float64(s.ProbeInterval))
}

// manyChanges is the number of waiting changes from which probes carry more.
const manyChanges = 32

// piggyback returns the bytes of changes that one message carries.
func (s Settings) piggyback(waiting int) int {
	if waiting > manyChanges {
		return s.BurstBytes
	}
	return s.PiggybackBytes
}

// transmissions returns how often one VM passes on one change.
func transmissions(fleet int) int {
	return 2 * bits.Len(uint(fleet))
}
