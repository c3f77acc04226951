package ports

import (
	"math/rand/v2"
	"sync"
)

// Random is a source of random numbers that is safe for concurrent use.
type Random interface {
	// Uint64 returns a random number.
	Uint64() uint64
}

// SystemRandom uses the global random generator of the Go runtime.
type SystemRandom struct{}

// Uint64 returns a random number.
func (SystemRandom) Uint64() uint64 { return rand.Uint64() }

// SeededRandom generates a reproducible sequence. It is created by
// [NewSeededRandom].
type SeededRandom struct {
	mutex  sync.Mutex
	source *rand.PCG
}

// NewSeededRandom returns a source whose sequence is determined by the seed.
func NewSeededRandom(seed uint64) *SeededRandom {
	return &SeededRandom{source: rand.NewPCG(seed, seed)}
}

// Uint64 returns the next number of the sequence.
func (s *SeededRandom) Uint64() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.source.Uint64()
}
