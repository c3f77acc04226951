package batch

import "time"

const (
	// probeDelay is the time without a response, while submissions to a VM are
	// pending, after which the VM is probed.
	probeDelay = 400 * time.Millisecond
	// suspectProbeDelay is the same for a VM that the membership suspects.
	suspectProbeDelay = 100 * time.Millisecond
	// probeTimeout is the time limit of a probe. A VM that does not respond to it
	// gets no work as long as others can take it.
	probeTimeout = 250 * time.Millisecond
	// reprobeInterval is the time between two probes of a VM that does not
	// respond.
	reprobeInterval = 300 * time.Millisecond
)

// contacts tracks which VMs respond to this one, so that work leaves an owner
// that is dead, frozen or cut off before the membership agrees on it. The zero
// value is ready for use. It is not safe for concurrent use.
type contacts struct{ vms map[string]*contact }

// contact is what is known of one VM.
type contact struct {
	pending     int       // Submissions without a response.
	silentSince time.Time // Latest of the last response and the first pending submission.
	probing     bool
	probedAt    time.Time // End of the last probe.
	silent      bool      // It has not responded to the last probe.
}

// callStarted records a submission to a VM.
func (c *contacts) callStarted(now time.Time, vm string) {
	if c.vms == nil {
		c.vms = make(map[string]*contact)
	}
	v := c.vms[vm]
	if v == nil {
		v = &contact{}
		c.vms[vm] = v
	}
	if v.pending == 0 {
		v.silentSince = now
	}
	v.pending++
}

// callEnded records the end of a submission; responded says whether the VM has
// sent a response. A VM that responds and has no other submission is forgotten.
func (c *contacts) callEnded(now time.Time, vm string, responded bool) {
	v := c.vms[vm]
	if v == nil {
		return
	}
	v.pending--
	if responded {
		v.silentSince, v.silent = now, false
	}
	c.forget(vm, v)
}

// forget drops a VM of which there is nothing to remember.
func (c *contacts) forget(vm string, v *contact) {
	if v.pending <= 0 && !v.silent && !v.probing {
		delete(c.vms, vm)
	}
}

// silent reports whether a VM did not respond to its last probe.
func (c *contacts) silent(vm string) bool {
	v := c.vms[vm]
	return v != nil && v.silent
}

// dueProbes returns the VMs to probe now and marks them as being probed. Suspect
// reports whether the membership suspects a VM.
func (c *contacts) dueProbes(now time.Time, suspect func(vm string) bool) []string {
	var due []string
	for vm, v := range c.vms {
		if !v.probing && v.probeDue(now, suspect(vm)) {
			v.probing = true
			due = append(due, vm)
		}
	}
	return due
}

func (v *contact) probeDue(now time.Time, suspect bool) bool {
	if v.silent {
		return now.Sub(v.probedAt) >= reprobeInterval
	}
	delay := probeDelay
	if suspect {
		delay = suspectProbeDelay
	}
	return v.pending > 0 && now.Sub(v.silentSince) >= delay
}

// probeEnded records the outcome of a probe and reports whether the VM has
// changed between responding and silent. A response that arrived during a failed
// probe counts instead of it.
func (c *contacts) probeEnded(now time.Time, vm string, responded bool) bool {
	v := c.vms[vm]
	if v == nil {
		return false
	}
	v.probing, v.probedAt = false, now
	silent := !responded && now.Sub(v.silentSince) >= probeTimeout
	changed := v.silent != silent
	v.silent = silent
	if responded {
		v.silentSince = now
	}
	c.forget(vm, v)
	return changed
}

// drop forgets the VMs for which gone reports true.
func (c *contacts) drop(gone func(vm string) bool) {
	for vm, v := range c.vms {
		if gone(vm) && v.pending <= 0 && !v.probing {
			delete(c.vms, vm)
		}
	}
}

// paused starts all observations again after a pause of this VM, in which it
// could not receive responses.
func (c *contacts) paused(now time.Time) {
	for _, v := range c.vms {
		v.silentSince, v.silent = now, false
	}
}
