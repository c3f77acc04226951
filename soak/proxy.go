package soak

import (
	"net"
	"sync"
	"time"
)

// linkState is how a proxy handles data.
type linkState int

const (
	passing linkState = iota // Data is forwarded at once.
	delayed                  // Each chunk is delayed by linkDelay.
	silent                   // Data is dropped in both directions.
	oneWay                   // Data to the dialing side is dropped.
	reset                    // Open connections are reset, new ones closed.
)

const (
	linkDelay  = 150 * time.Millisecond
	proxyBytes = 16 << 10
)

// proxy forwards TCP connections to an address and injects link faults.
type proxy struct {
	address     string // Address to listen on.
	destination string // Address to forward to.

	listener net.Listener
	mutex    sync.Mutex
	state    linkState
	changed  time.Time // When the state last changed.
	faults   history
	conns    map[net.Conn]struct{}
	running  sync.WaitGroup
}

func (p *proxy) start() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	p.conns = make(map[net.Conn]struct{})
	p.running.Add(1)
	go p.run()
	return nil
}

// set changes how data is handled from now on. The state reset also resets the open
// connections.
func (p *proxy) set(state linkState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state, p.changed = state, time.Now()
	p.faults.add(p.changed, state != passing)
	if state == reset {
		p.resetAll()
	}
}

// resetAll resets all connections. The mutex must be held.
func (p *proxy) resetAll() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Without it the connection is closed normally.
		}
		_ = c.Close() // Ends its runCopy.
	}
}

// calmUntil returns the end of the time after from in which data was forwarded at once,
// at most limit.
func (p *proxy) calmUntil(from, limit time.Time) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults.calmUntil(from, limit)
}

func (p *proxy) current() linkState {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state
}

// passingSince reports whether the proxy has forwarded data unchanged since a time.
func (p *proxy) passingSince(since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state == passing && p.changed.Before(since)
}

// run accepts connections until the proxy is closed.
func (p *proxy) run() {
	defer p.running.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == reset {
			_ = conn.Close() // The dialing side sees a closed connection.
			continue
		}
		p.running.Add(1)
		go p.runConn(conn)
	}
}

// runConn forwards one connection.
func (p *proxy) runConn(downstream net.Conn) {
	defer p.running.Done()
	upstream, err := net.Dial("tcp", p.destination)
	if err != nil {
		_ = downstream.Close() // The dialing side sees a closed connection.
		return
	}
	if !p.track(downstream, upstream) {
		return
	}
	defer p.untrack(downstream, upstream)
	var both sync.WaitGroup
	both.Add(2)
	go p.runCopy(&both, upstream, downstream, false)
	go p.runCopy(&both, downstream, upstream, true)
	both.Wait()
}

// track records open connections. If the state is reset, it resets them and reports
// false.
func (p *proxy) track(conns ...net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
	if p.state == reset {
		p.resetAll()
		return false
	}
	return true
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// runCopy copies one direction and closes both connections when it ends.
// towardsDialer says that the data goes to the dialing side.
func (p *proxy) runCopy(done *sync.WaitGroup, to, from net.Conn, towardsDialer bool) {
	defer done.Done()
	defer func() { _ = to.Close() }()   // An error would change nothing.
	defer func() { _ = from.Close() }() // As above.
	buffer := make([]byte, proxyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n], towardsDialer) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward handles data according to the current state. It reports false if the
// connection has failed.
func (p *proxy) forward(to net.Conn, data []byte, towardsDialer bool) bool {
	switch p.current() {
	case silent:
		return true
	case oneWay:
		if towardsDialer {
			return true
		}
	case delayed:
		time.Sleep(linkDelay)
	case passing, reset:
	}
	_, err := to.Write(data)
	return err == nil
}

// close closes all connections and waits for the goroutines.
func (p *proxy) close() {
	_ = p.listener.Close() // Accept returns either way.
	p.set(reset)
	p.running.Wait()
}
