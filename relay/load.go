package relay

import (
	"strconv"
	"strings"

	"bergamotworks/place"
	"bergamotworks/site"
)

// The figures of a load report, in their order. Targets may report more of them.
const (
	runningFigure = iota
	waitingFigure
	slotsFigure
	workFactorFigure // Optional.
	knownFigures

	minFigures = workFactorFigure
)

// recordLoad records the load that a target reports. Malformed reports are ignored.
func (s *Server) recordLoad(t site.Target, text string) {
	load, ok := parseLoad(text)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.placement.LoadReported(s.Clock.Now(), t, load)
}

// parseLoad returns the load that a target reports as
// RUNNING,WAITING,SLOTS[,WORK_FACTOR[,...]], and false if one of the first three
// figures is absent or one of the first four is not a number. Later figures are
// ignored whatever they are.
func parseLoad(text string) (place.Load, bool) {
	parts := strings.SplitN(text, ",", knownFigures+1)
	if len(parts) < minFigures {
		return place.Load{}, false
	}
	var figures [knownFigures]int
	for i, p := range parts[:min(len(parts), knownFigures)] {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 {
			return place.Load{}, false
		}
		figures[i] = n
	}
	return place.Load{
		Running: figures[runningFigure], Waiting: figures[waitingFigure], Slots: figures[slotsFigure], WorkFactor: figures[workFactorFigure],
	}, true
}
