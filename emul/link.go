package emul

import (
	"net"
	"sync"
)

// linkListener accepts connections that can be cut or go silent together.
type linkListener struct {
	net.Listener
	mutex  sync.Mutex
	links  map[*link]struct{}
	killed bool
	group  sync.WaitGroup
}

// link is a connection that can go silent for good.
type link struct {
	net.Conn
	listener *linkListener
	mutex    sync.Mutex
	silent   bool
	ended    sync.Once
}

func newLinkListener(listener net.Listener) *linkListener {
	return &linkListener{Listener: listener, links: make(map[*link]struct{})}
}

// Accept waits for the next connection.
func (l *linkListener) Accept() (net.Conn, error) {
	stream, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &link{Conn: stream, listener: l}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.killed {
		_ = stream.Close()
		return nil, net.ErrClosed
	}
	l.links[k] = struct{}{}
	l.group.Add(1)
	return k, nil
}

// kill closes the listener and resets all connections.
func (l *linkListener) kill() {
	_ = l.Close()
	l.mutex.Lock()
	l.killed = true
	l.mutex.Unlock()
	for _, k := range l.open() {
		k.reset()
	}
}

// wait waits until the server has given up all connections.
func (l *linkListener) wait() { l.group.Wait() }

// silence makes all present connections silent.
func (l *linkListener) silence() {
	for _, k := range l.open() {
		k.mutex.Lock()
		k.silent = true
		k.mutex.Unlock()
	}
}

func (l *linkListener) open() []*link {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make([]*link, 0, len(l.links))
	for k := range l.links {
		all = append(all, k)
	}
	return all
}

// Read drops what arrives on a silent connection.
func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if err != nil || !l.isSilent() {
			return n, err
		}
	}
}

// Write drops what is written to a silent connection.
func (l *link) Write(p []byte) (int, error) {
	if l.isSilent() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

// Close closes the connection.
func (l *link) Close() error {
	l.ended.Do(l.forget)
	return l.Conn.Close()
}

func (l *link) forget() {
	l.listener.mutex.Lock()
	delete(l.listener.links, l)
	l.listener.mutex.Unlock()
	l.listener.group.Done()
}

// reset closes the connection without a farewell. The server gives it up at
// its next use.
func (l *link) reset() {
	if c, ok := l.Conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = l.Conn.Close()
}

func (l *link) isSilent() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.silent
}
