package serve

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"bergamotworks/canary"
	"bergamotworks/fault"
	"bergamotworks/relay"
)

// Settings are the settings of a node that serves opaque routes.
type Settings struct {
	VM     string // Identifier of this VM, unique in the fleet.
	Domain string // Failure domain of this VM.
	Region string
	Limits Limits // What the node may hold; [NewLimits] returns it for a VM.
	// CPUShare is the fraction of a core that this VM has, and CPUSpeed the
	// speed of that core as a multiple of a reference core. If either is zero,
	// the CPU capacity is unknown.
	CPUShare, CPUSpeed float64
	Listen             string        // Address for clients, IP:port.
	ReadyListen        string        // Address for load balancers, IP:port.
	MetricsListen      string        // Address for metrics, IP:port; empty for none.
	PeerListen         string        // TCP address for other nodes, IP:port.
	GossipListen       string        // UDP address for the membership, IP:port.
	ShutdownTimeout    time.Duration // Time limit of a planned shutdown, including DrainDelay.
	// DrainDelay is the time within which the load balancer notices that the
	// node is no longer ready. Until then a node that shuts down still accepts
	// clients.
	DrainDelay time.Duration
	Bounds     relay.Bounds
	// Canary limits what the new version in a rollout gets; a zero share disables rollouts.
	Canary canary.Settings
	// PriorityAdmission means that requests compete for too little capacity at times, so
	// that they are admitted by priority and client account.
	PriorityAdmission bool
	// ExpectedTime means that targets are chosen by the expected time to the first event
	// also in services whose targets do not report how long work takes on their VM.
	ExpectedTime bool
	// MoveRuns means that runs are backed up and moved between targets, in services whose
	// configuration allows it.
	MoveRuns bool
}

// millicores returns the CPU capacity of this VM in thousandths of a reference
// core; zero means unknown.
func (s Settings) millicores() int {
	const millicoresPerCore = 1000
	return int(s.CPUShare * s.CPUSpeed * millicoresPerCore)
}

// WithReloadable returns the settings with those of other that may change while
// a node runs. It also returns the names of further settings that differ and
// take effect only at the next start, except CPUShare and CPUSpeed, which are
// not compared.
func (s Settings) WithReloadable(other Settings) (settings Settings, fixed []string) {
	settings = s
	settings.ShutdownTimeout, settings.DrainDelay, settings.Bounds = other.ShutdownTimeout, other.DrainDelay, other.Bounds
	pairs := []struct{ field, before, after string }{
		{"vm", s.VM, other.VM}, {"domain", s.Domain, other.Domain}, {"region", s.Region, other.Region},
		{"listen", s.Listen, other.Listen}, {"ready_listen", s.ReadyListen, other.ReadyListen},
		{"metrics_listen", s.MetricsListen, other.MetricsListen}, {"peer_listen", s.PeerListen, other.PeerListen},
		{"gossip_listen", s.GossipListen, other.GossipListen},
		{"limits", fmt.Sprint(s.Limits), fmt.Sprint(other.Limits)}, // Of memory-mb and max-descriptors.
		{"canary", fmt.Sprint(s.Canary), fmt.Sprint(other.Canary)},
		{"expected_time", strconv.FormatBool(s.ExpectedTime), strconv.FormatBool(other.ExpectedTime)},
		{"move_runs", strconv.FormatBool(s.MoveRuns), strconv.FormatBool(other.MoveRuns)},
		{"contracts", strconv.FormatBool(s.PriorityAdmission), strconv.FormatBool(other.PriorityAdmission)},
	}
	for _, p := range pairs {
		if p.before != p.after {
			fixed = append(fixed, p.field)
		}
	}
	return settings, fixed
}

// Check returns an error of kind [fault.Invalid] for the first setting that is
// missing or invalid.
func (s Settings) Check() error {
	if s.VM == "" {
		return fault.InvalidField("vm", "missing")
	}
	if s.Domain == "" {
		return fault.InvalidField("domain", "missing")
	}
	addresses := []struct{ field, value string }{
		{"listen", s.Listen}, {"ready_listen", s.ReadyListen}, {"peer_listen", s.PeerListen}, {"gossip_listen", s.GossipListen},
	}
	if s.MetricsListen != "" {
		addresses = append(addresses, struct{ field, value string }{"metrics_listen", s.MetricsListen})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fault.InvalidField(a.field, "%q is not IP:port", a.value)
		}
	}
	if s.CPUShare < 0 || s.CPUSpeed < 0 {
		return fault.InvalidField("cpu_share", "the share and the speed of a core must not be negative")
	}
	if s.ShutdownTimeout <= 0 {
		return fault.InvalidField("stop_time", "must be above zero")
	}
	if s.DrainDelay < 0 || s.DrainDelay >= s.ShutdownTimeout {
		return fault.InvalidField("balancer_wait", "must not be negative and must be less than stop_time")
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 || s.Bounds.RetryWindow <= 0 {
		return fault.InvalidField("retry_window", "retry_share and retry_slack must not be negative, and retry_window must be above zero")
	}
	return nil
}
