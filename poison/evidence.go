package poison

import "time"

// The values of [Loss.Content] of fingerprints that are not those of a part of a
// prompt but of the whole content.
const (
	// ContentAtService is that of the fingerprint of a content at one service.
	ContentAtService uint32 = 0
	// ContentAnywhere is that of the fingerprint of a content at all services.
	ContentAnywhere uint32 = 1
	// MinContent is the least hash of a content in a loss of a part.
	MinContent uint32 = 2
)

// Evidence is what nodes tell each other about a fingerprint that requests share:
// a [Loss], a [Clearance], a [Quarantine] or a [Probe].
type Evidence interface{ evidence() }

// Loss says that the connection to a target was lost while it ran a request with
// the fingerprint.
type Loss struct {
	Fingerprint uint64
	Target      uint32 // Hash of the target's incarnation. Losses of one target count once.
	// Content is a hash of the content of the request, at least MinContent. Losses of
	// requests with the same content count once. It is ContentAtService or
	// ContentAnywhere if the fingerprint is that of the content.
	Content uint32
	At      time.Time
}

// ofPart reports whether the fingerprint is that of a part of a prompt.
func (l Loss) ofPart() bool { return l.Content >= MinContent }

// Clearance says that a target has completed a request with the fingerprint, so
// that the fingerprint did not cause the losses before At.
type Clearance struct {
	Fingerprint uint64
	At          time.Time
}

// Quarantine says that requests with the fingerprint are rejected until a time.
type Quarantine struct {
	Fingerprint uint64
	Until       time.Time
}

// Probe says that a request with a quarantined fingerprint was let through at a time,
// and that the next one waits for at least Wait after it unless this one completes.
type Probe struct {
	Fingerprint uint64
	At          time.Time
	Wait        time.Duration
}

// Until returns the time until which the evidence counts: the quarantine may last for
// LossLifetime after the wait, and waits do not become shorter in it.
func (p Probe) Until() time.Time { return p.At.Add(p.Wait + LossLifetime) }

func (Probe) evidence()      {}
func (Loss) evidence()       {}
func (Clearance) evidence()  {}
func (Quarantine) evidence() {}
