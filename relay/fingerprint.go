package relay

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotworks/site"
)

const (
	// maxFingerprintParts limits the parts of a prompt that are examined. The first
	// ones are those that most requests share.
	maxFingerprintParts = 16
	// restartWindow is the time after which a target may have restarted.
	restartWindow = 2 * time.Second
)

// contentFingerprint returns a hash of the client account and the content of the
// request, but not of its identifier, nor of the route and the service, which may
// change while the request comes again and again.
func (x *exchange) contentFingerprint() uint64 { return x.hashContent(x.caller()) }

// hashContent returns a hash of the content of the request and of what qualifies it.
func (x *exchange) hashContent(qualifiers ...string) uint64 {
	d := xxhash.New()
	for _, part := range append(qualifiers, x.request.Method, x.request.URI) {
		_, _ = d.WriteString(part + "\n") // Writing to a digest never fails.
	}
	_, _ = d.Write(x.request.Body)
	return d.Sum64()
}

// caller returns the name of the client account whose API key the request has. A
// request on a public route may have one, too.
func (x *exchange) caller() string {
	if x.account.Name != "" {
		return x.account.Name
	}
	a, _ := x.config.Account(x.request.Headers.Get(x.server.Names.AccountKey))
	return a.Name
}

// serviceFingerprint returns the fingerprint of the content at the service of the
// request. It tells services at which a content is lost from others that complete it.
// Nodes of earlier versions know a content by this fingerprint only. It is computed on
// first use.
func (x *exchange) serviceFingerprint() uint64 {
	if x.servicePrint == 0 {
		x.servicePrint = x.hashContent(x.service, x.account.Name)
	}
	return x.servicePrint
}

// fingerprints returns the fingerprint of the content of the request, followed by
// those of the parts of its prompt that other requests may share. They are computed
// on first use.
func (x *exchange) fingerprints() []uint64 {
	if x.prints == nil {
		x.prints = append([]uint64{x.contentFingerprint()}, x.partFingerprints()...)
	}
	return x.prints
}

// partFingerprints returns the fingerprints of the parts of the prompt that other
// requests may share.
func (x *exchange) partFingerprints() []uint64 {
	ids := sharedParts(x.request.Headers.Get(x.server.Names.PromptParts))
	var prints []uint64
	for _, id := range ids[:min(len(ids), maxFingerprintParts)] {
		prints = append(prints, partFingerprint(id))
	}
	return prints
}

// sharedParts returns the identifiers of the parts of a prompt that requests can
// share, which are all but the last: that is unique to the request. PromptParts is
// a list ID:TOKENS,...
func sharedParts(promptParts string) []string {
	list := strings.Split(promptParts, ",")
	ids := make([]string, 0, len(list))
	for _, part := range list[:len(list)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		ids = append(ids, id)
	}
	return ids
}

// affinityHash returns a hash of the last part of a prompt that requests can share,
// or zero if there is none.
func affinityHash(promptParts string) uint64 {
	ids := sharedParts(promptParts)
	if len(ids) == 0 {
		return 0
	}
	return xxhash.Sum64String(ids[len(ids)-1])
}

// partFingerprint returns the fingerprint of a part of a prompt. It differs from
// the hash that is used for affinity, and is the same for all services.
func partFingerprint(id string) uint64 { return xxhash.Sum64String("part\n" + strings.ToLower(id)) }

// completedFingerprints returns the fingerprints that a complete response clears. The
// content, which takes long to hash, is left out while nothing speaks against any.
func (x *exchange) completedFingerprints() []uint64 {
	succeeded := x.status < 300
	switch losses := x.server.hasLosses(); {
	case losses && succeeded:
		return append([]uint64{x.serviceFingerprint()}, x.fingerprints()...)
	case losses:
		return []uint64{x.serviceFingerprint(), x.fingerprints()[0]}
	case succeeded:
		return x.partFingerprints()
	}
	return nil
}

// incarnationHash returns a hash of a target's incarnation. If that is not known, a
// target that is lost again after restartWindow counts as another one.
func incarnationHash(t site.Target, now time.Time) uint32 {
	if t.Incarnation == 0 {
		return hash32(fmt.Sprintf("%s/window/%d", t.ID, now.UnixNano()/int64(restartWindow)))
	}
	return hash32(fmt.Sprintf("%s/%d", t.ID, t.Incarnation))
}

func hash32(text string) uint32 { return uint32(xxhash.Sum64String(text)) }
