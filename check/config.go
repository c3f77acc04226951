package check

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"bergamotworks/site"
)

// Config examines a configuration. It returns its findings, the most severe first.
func Config(c site.Config) []Finding {
	x := examination{config: c}
	x.names()
	x.matches()
	for _, r := range c.Routes {
		x.route(r)
	}
	x.services()
	x.accounts()
	x.limits()
	return x.findings.sorted()
}

// examination is the examination of one configuration.
type examination struct {
	config   site.Config
	findings findings
}

func routePlace(name string) string   { return "route " + strconv.Quote(name) }
func servicePlace(name string) string { return "service " + strconv.Quote(name) }
func accountPlace(name string) string { return "account " + strconv.Quote(name) }

// names reports names that stand twice.
func (x *examination) names() {
	seen := make(map[string]bool)
	use := func(place string) {
		if seen[place] {
			x.findings.add(Error, place, "the name is used twice; only one of the entries is effective")
		}
		seen[place] = true
	}
	for _, r := range x.config.Routes {
		use(routePlace(r.Name))
	}
	for _, s := range x.config.Services {
		use(servicePlace(s.Name))
	}
	for _, a := range x.config.Accounts {
		use(accountPlace(a.Name))
	}
}

// matches reports routes that no request can match.
func (x *examination) matches() {
	type match struct{ host, prefix string }
	first := make(map[match]string)
	for _, r := range x.config.Routes {
		if r.Host == "" {
			x.findings.add(Warning, routePlace(r.Name)+".host", "empty; no request matches the route")
			continue
		}
		m := match{host: r.Host, prefix: r.Prefix}
		if other, ok := first[m]; ok {
			x.findings.add(Warning, routePlace(r.Name)+".prefix", "never matches: route %q before it has the same host and prefix", other)
			continue
		}
		first[m] = r.Name
	}
}

// services reports services that nothing uses and limits that they cannot reach.
func (x *examination) services() {
	used := make(map[string]bool)
	for _, r := range x.config.Routes {
		for _, b := range r.Backends {
			used[b.Service] = true
		}
		for _, s := range r.Stages {
			used[s.Service] = true
		}
	}
	for _, s := range x.config.Services {
		place := servicePlace(s.Name)
		if !used[s.Name] {
			x.findings.add(Warning, place, "no route uses it")
		}
		if s.ColdRate < 0 {
			x.findings.add(Error, place+".cold_rate", "%g requests a second", s.ColdRate)
		}
		x.batch(place, s)
	}
}

// batch reports contradictions in the limits of a service that processes pieces.
func (x *examination) batch(place string, s site.Service) {
	b := s.Batch
	if b == nil {
		return
	}
	if b.CallTime < 0 || b.PieceTime < 0 || b.ResultCapacityBytes < 0 {
		x.findings.add(Error, place+".batch", "negative time or memory")
		return
	}
	if call := fullCallTime(*b); call > 0 {
		if rate := float64(b.Slots) / call.Seconds(); s.ColdRate > rate {
			x.findings.add(Warning, place+".cold_rate", "%g calls a second while cold, but a target handles %.3g", s.ColdRate, rate)
		}
		if b.Retention < call {
			x.findings.add(Warning, place+".retention", "results expire after %s, before another call of %s ends", b.Retention, call)
		}
	}
}

// accounts reports keys that admit nobody or the wrong account.
func (x *examination) accounts() {
	owners := make(map[string]string) // By hash of the key.
	for _, a := range x.config.Accounts {
		place := accountPlace(a.Name)
		if a.Name == "" {
			x.findings.add(Error, place, "the name is empty")
		}
		if len(a.Keys)+len(a.KeyHashes) == 0 {
			x.findings.add(Warning, place, "has no key, so that no request belongs to it")
		}
		hashes := a.KeyHashes
		for _, k := range a.Keys {
			if k == "" {
				x.findings.add(Warning, place+".keys", "an empty key admits nobody")
				continue
			}
			sum := sha256.Sum256([]byte(k))
			hashes = append(hashes[:len(hashes):len(hashes)], hex.EncodeToString(sum[:]))
		}
		for _, h := range hashes {
			if owner, ok := owners[h]; ok {
				x.findings.add(Error, place+".keys", "account %q has the same key; only one of them gets its requests", owner)
			}
			owners[h] = a.Name
		}
	}
	if x.config.KeysRequired && len(x.config.Accounts) == 0 {
		x.findings.add(Warning, "accounts", "empty: only public routes can be used")
	}
}

// limits reports limits on client requests that cannot hold together.
func (x *examination) limits() {
	l := x.config.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		x.findings.add(Error, "limits", "a limit is negative")
	}
}
