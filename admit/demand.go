package admit

import (
	"math"
	"time"
)

// maxClasses limits the classes whose rates are kept. The accounts of a
// configuration times the priorities in use are far fewer.
const maxClasses = 512

// average is a sum that decays exponentially with its window.
type average struct {
	sum float64
	at  time.Time
}

func (a *average) add(now time.Time, window time.Duration, value float64) {
	a.sum, a.at = a.value(now, window)+value, now
}

// value returns the sum as of now.
func (a *average) value(now time.Time, window time.Duration) float64 {
	if a.sum == 0 {
		return 0
	}
	return a.sum * math.Exp(-max(0, now.Sub(a.at).Seconds())/window.Seconds())
}

// rate returns the mean change of the sum in one second.
func (a *average) rate(now time.Time, window time.Duration) float64 {
	return a.value(now, window) / window.Seconds()
}

// demand estimates the rate at which work arrives, by class.
type demand struct{ classes map[Class]*average }

func (d *demand) add(now time.Time, window time.Duration, c Class, work float64) {
	if d.classes == nil {
		d.classes = make(map[Class]*average)
	}
	a := d.classes[c]
	if a == nil {
		if len(d.classes) >= maxClasses {
			return
		}
		a = &average{}
		d.classes[c] = a
	}
	a.add(now, window, work)
}

// rates returns the rates by class and forgets the classes without recent work.
func (d *demand) rates(now time.Time, window time.Duration) map[Class]float64 {
	const forgetWindows = 10
	rates := make(map[Class]float64, len(d.classes))
	for c, a := range d.classes {
		if now.Sub(a.at) > forgetWindows*window {
			delete(d.classes, c)
			continue
		}
		rates[c] = a.rate(now, window)
	}
	return rates
}
