package serve

import (
	"net/netip"
	"time"

	"bergamotworks/fault"
	"bergamotworks/relay"
)

// Settings are the settings of a node that serves opaque routes.
type Settings struct {
	VM     string // Identifier of this VM, unique in the fleet.
	Domain string // Failure domain of this VM.
	Region string
	// CPUShare is the part of a core that this VM has, and CPUSpeed how many
	// times as fast as others that core is; zero means that they are not known.
	CPUShare, CPUSpeed float64
	Listen             string        // Callers' address, IP:port.
	ReadyListen        string        // Balancers' address, IP:port.
	MetricsListen      string        // Address of the metrics, IP:port; empty for none.
	PeerListen         string        // Address for other nodes, TCP, IP:port.
	GossipListen       string        // Address for membership, UDP, IP:port.
	ShutdownTimeout    time.Duration // Time for a planned stop.
	// BalancerWait is the time in which the balancer notices that the node is no
	// longer ready.
	DrainDelay time.Duration
	Bounds     relay.Bounds
}

// millicores returns the processing power of this VM in thousandths of a core.
func (s Settings) millicores() int {
	const whole = 1000
	return int(s.CPUShare * s.CPUSpeed * whole)
}

// WithReloadable returns the settings with those of others that may change while
// a node runs, and the names of the ones that differ beside them.
func (s Settings) WithReloadable(other Settings) (settings Settings, fixed []string) {
	settings = s
	settings.ShutdownTimeout, settings.DrainDelay, settings.Bounds = other.ShutdownTimeout, other.DrainDelay, other.Bounds
	pairs := []struct{ field, before, after string }{
		{"vm", s.VM, other.VM}, {"domain", s.Domain, other.Domain}, {"region", s.Region, other.Region},
		{"listen", s.Listen, other.Listen}, {"ready_listen", s.ReadyListen, other.ReadyListen},
		{"metrics_listen", s.MetricsListen, other.MetricsListen}, {"peer_listen", s.PeerListen, other.PeerListen},
		{"gossip_listen", s.GossipListen, other.GossipListen},
	}
	for _, p := range pairs {
		if p.before != p.after {
			fixed = append(fixed, p.field)
		}
	}
	return settings, fixed
}

// Check reports the first setting that is missing or wrong.
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
		return fault.InvalidField("cpu_share", "the share of a core and its speed must not be negative")
	}
	if s.ShutdownTimeout <= 0 {
		return fault.InvalidField("stop_time", "must be above zero")
	}
	if s.DrainDelay < 0 || s.DrainDelay >= s.ShutdownTimeout {
		return fault.InvalidField("balancer_wait", "must lie between zero and the time for a planned stop")
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 || s.Bounds.RetryWindow <= 0 {
		return fault.InvalidField("retry_window", "the retry bounds must not be negative, and the window must be above zero")
	}
	return nil
}
