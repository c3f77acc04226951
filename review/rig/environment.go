package main

import "time"

// What clients use.
const (
	routeHost   = "jepu9.example"
	routePrefix = "/bobo563/lo7/"
	apiKey      = "9dnn2ctnfzs989anu6ws"
)

var zones = []string{"qc-a", "qc-b", "qc-c"}

// readyTime is how long the nodes may take to become ready.
const readyTime = 15 * time.Second

// environment is the stand-ins and the nodes of a run.
type environment struct {
	*run
	fleet   *fleet
	store   *store
	pool    *pool
	proxies []*proxy // One in front of the store for each node; nil without proxies.
}

// newEnvironment prepares nodes in the zones in turn. With proxies, each reaches the
// store through one of its own.
func newEnvironment(r *run, nodes int, zones []string, proxies bool) (*environment, error) {
	f, err := newFleet(r.rec)
	if err != nil {
		return nil, err
	}
	s, err := startStore(f.ip + ".250:0")
	if err != nil {
		return nil, err
	}
	e := &environment{run: r, fleet: f, store: s, pool: &pool{rec: r.rec, store: s, ip: f.ip + ".240"}}
	for i := range nodes {
		address := s.address
		if proxies {
			p, err := startProxy(f.ip+".249:0", s.address)
			if err != nil {
				return nil, err
			}
			e.proxies = append(e.proxies, p)
			address = p.address
		}
		f.add(zones[i%len(zones)], address)
	}
	return e, nil
}

// start starts the nodes and waits until they are ready and in touch.
func (e *environment) start() error {
	if err := e.fleet.start(e.dir); err != nil {
		return err
	}
	if err := e.fleet.awaitReady(readyTime); err != nil {
		return err
	}
	time.Sleep(contactTime)
	e.rec.add("all %d nodes are ready and in touch", len(e.fleet.nodes))
	return nil
}

func (e *environment) close() {
	e.fleet.close()
	_ = e.store.server.Close()
}

// configuration returns a configuration with one route that leads to a service.
func configuration(version int, service string) map[string]any {
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": 620, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": routeHost, "prefix": routePrefix, "kind": "idempotent", "timeoutMs": 1500, "sloMs": 300, "priority": 2,
			"service": service, "attempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{plain("facturation"), plain("portail")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "bozi300", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}
