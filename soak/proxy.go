package soak

import (
	"net"
	"sync"
	"time"
)

// linkState is what a proxy does with bytes.
type linkState int

const (
	passing linkState = iota
	delayed           // Bytes arrive late.
	silent            // Bytes vanish, both ways.
	oneWay            // Bytes towards the dialler vanish.
	reset             // Connections are reset and refused.
)

const (
	linkDelay  = 150 * time.Millisecond
	proxyBytes = 16 << 10
)

// proxy passes connections on to a target, or does not.
type proxy struct {
	address string // That it listens on.
	target  string

	listener net.Listener
	mutex    sync.Mutex
	state    linkState
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

// set changes what happens to bytes from now on.
func (p *proxy) set(state linkState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state = state
	if state == reset {
		p.drop()
	}
}

// drop resets all connections, under the mutex.
func (p *proxy) drop() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // The connection is closed in any case.
		}
		_ = c.Close() // Its copier ends.
	}
}

func (p *proxy) current() linkState {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state
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
			_ = conn.Close() // The dialler sees a closed connection.
			continue
		}
		p.running.Add(1)
		go p.runConn(conn)
	}
}

// runConn passes one connection on.
func (p *proxy) runConn(near net.Conn) {
	defer p.running.Done()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close() // The dialler sees a closed connection.
		return
	}
	if !p.hold(near, far) {
		return
	}
	defer p.release(near, far)
	var both sync.WaitGroup
	both.Add(2)
	go p.runCopy(&both, far, near, false)
	go p.runCopy(&both, near, far, true)
	both.Wait()
}

func (p *proxy) hold(conns ...net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
	if p.state == reset {
		p.drop()
		return false
	}
	return true
}

func (p *proxy) release(conns ...net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// runCopy copies one direction. Both connections end with it.
func (p *proxy) runCopy(done *sync.WaitGroup, to, from net.Conn, towardsDialler bool) {
	defer done.Done()
	defer func() { _ = to.Close() }()   // The other end sees the same.
	defer func() { _ = from.Close() }() // As above.
	buffer := make([]byte, proxyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.pass(to, buffer[:n], towardsDialler) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) pass(to net.Conn, data []byte, towardsDialler bool) bool {
	switch p.current() {
	case silent:
		return true
	case oneWay:
		if towardsDialler {
			return true
		}
	case delayed:
		time.Sleep(linkDelay)
	case passing, reset:
	}
	_, err := to.Write(data)
	return err == nil
}

// close ends all connections and waits.
func (p *proxy) close() {
	_ = p.listener.Close() // Accept returns either way.
	p.set(reset)
	p.running.Wait()
}
