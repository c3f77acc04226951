package node

import (
	"net/netip"
	"time"

	"bergamotworks/fault"
	"bergamotworks/pool"
)

// Settings are the checked settings of a node.
type Settings struct {
	VM     string // Identifier of the VM, unique in the fleet.
	Domain string // Failure domain of the VM.
	Region string
	// The addresses that the node listens on, IP:port. Port zero takes a free port.
	Listen string // Callers.
	Routes string // Callers of opaque routes; empty serves none.
	Admin  string // Operators.
	Peer   string // Other nodes, TCP.
	Gossip string // Membership, UDP.
	// Seeds are gossip addresses of VMs that may be live.
	Seeds []string
	// DrainWait is the time between the end of readiness and the refusal of
	// new connections in a planned stop.
	DrainWait time.Duration
	// DrainLimit bounds the wait for running requests in a planned stop.
	DrainLimit time.Duration
	Policy     pool.Policy
	// TLSCert and TLSKey are PEM files for the callers' and operators' sides;
	// empty serves without TLS.
	TLSCert string
	TLSKey  string
	// StoreCalls is this node's share of the store's budget, in calls per second.
	StoreCalls float64
}

// Check returns an error that names the first wrong setting.
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
	return s.checkRest()
}

func (s Settings) checkRest() error {
	if s.DrainWait < 0 {
		return fault.InvalidField("drain-wait", "must not be negative")
	}
	if s.DrainLimit <= 0 {
		return fault.InvalidField("drain-limit", "must be positive")
	}
	if s.StoreCalls <= 0 {
		return fault.InvalidField("store-calls", "must be positive")
	}
	if (s.TLSCert == "") != (s.TLSKey == "") {
		return fault.InvalidField("tls-key", "tls-cert and tls-key are needed together")
	}
	return nil
}
