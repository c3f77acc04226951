package node

import (
	"net/netip"
	"time"

	"bergamotworks/canary"
	"bergamotworks/fault"
	"bergamotworks/pool"
)

// Settings are the settings of a node.
type Settings struct {
	VM     string // ID of the VM, unique in the fleet.
	Domain string // Failure domain of the VM.
	Region string
	// Addresses to listen on, as IP:port. Port zero selects a free port.
	Listen string // Clients.
	Routes string // Clients of opaque routes; if empty, no opaque routes are served.
	Admin  string // Admin API.
	Peer   string // Requests of other nodes; TCP.
	Gossip string // Membership protocol; UDP.
	// Seeds are gossip addresses of VMs that may be running.
	Seeds []string
	// DrainDelay is the time in a planned shutdown from the node becoming unready
	// to the start of its drain. The node still accepts connections in this time,
	// and serves no new ones from the drain on, so load balancers must notice
	// within this time that the node is unready.
	DrainDelay time.Duration
	// DrainTimeout is the maximum time of the drain, which starts after DrainDelay
	// and waits for requests in progress.
	DrainTimeout time.Duration
	Policy       pool.Policy
	// TLSCert and TLSKey are the PEM files for the client, admin and routes
	// listeners. If both are empty, TLS is disabled.
	TLSCert string
	TLSKey  string
	// StoreCalls is this node's share of the store's rate limit, in calls per
	// second.
	StoreCalls float64
	// Canary limits what a version gets that is rolled out. A share of zero disables
	// rollouts.
	Canary canary.Settings
}

// Check returns an error that names the first invalid setting.
func (s Settings) Check() error {
	if s.VM == "" {
		return fault.InvalidField("vm", "missing")
	}
	if s.Domain == "" {
		return fault.InvalidField("domain", "missing")
	}
	addresses := []struct{ name, value string }{
		{"listen", s.Listen}, {"admin-listen", s.Admin}, {"peer-listen", s.Peer}, {"gossip-listen", s.Gossip},
	}
	if s.Routes != "" {
		addresses = append(addresses, struct{ name, value string }{"routes-listen", s.Routes})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fault.InvalidField(a.name, "%q is not IP:port", a.value)
		}
	}
	for _, a := range s.Seeds {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fault.InvalidField("seeds", "%q is not IP:port", a)
		}
	}
	return s.checkOptions()
}

func (s Settings) checkOptions() error {
	if s.DrainDelay < 0 {
		return fault.InvalidField("drain-wait", "must not be negative")
	}
	if s.DrainTimeout <= 0 {
		return fault.InvalidField("drain-limit", "must be positive")
	}
	if s.StoreCalls <= 0 {
		return fault.InvalidField("store-calls", "must be positive")
	}
	if c := s.Canary; c.Share < 0 || c.Share > 1 || c.Slack < 0 || c.RollbackTime < 0 {
		return fault.InvalidField("canary-share", "share %g is not in 0 to 1, or slack %g or rollback time %s is negative", c.Share, c.Slack, c.RollbackTime)
	}
	if (s.TLSCert == "") != (s.TLSKey == "") {
		return fault.InvalidField("tls-key", "tls-cert and tls-key are needed together")
	}
	return nil
}
