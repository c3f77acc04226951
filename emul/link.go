package emul

import (
	"net"
	"sync"
)

// linkListener accepts connections that can be reset or made silent together.
type linkListener struct {
	net.Listener
	mutex  sync.Mutex
	links  map[*link]struct{}
	killed bool
	group  sync.WaitGroup
}

// link is a connection that can be made silent: it stays open, but what is sent
// in either direction is dropped.
type link struct {
	net.Conn
	listener  *linkListener
	mutex     sync.Mutex
	silent    bool
	closeOnce sync.Once
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
	for _, k := range l.openLinks() {
		k.reset()
	}
}

// wait waits until the server has closed all connections.
func (l *linkListener) wait() { l.group.Wait() }

// silence makes all open connections silent.
func (l *linkListener) silence() {
	for _, k := range l.openLinks() {
		k.mutex.Lock()
		k.silent = true
		k.mutex.Unlock()
	}
}

func (l *linkListener) openLinks() []*link {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make([]*link, 0, len(l.links))
	for k := range l.links {
		all = append(all, k)
	}
	return all
}

// Read reads from the connection. It discards what arrives while the connection
// is silent.
func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if err != nil || !l.isSilent() {
			return n, err
		}
	}
}

// Write writes to the connection. It discards p if the connection is silent.
func (l *link) Write(p []byte) (int, error) {
	if l.isSilent() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

// Close closes the connection and removes it from its listener.
func (l *link) Close() error {
	l.closeOnce.Do(l.unregister)
	return l.Conn.Close()
}

func (l *link) unregister() {
	l.listener.mutex.Lock()
	delete(l.listener.links, l)
	l.listener.mutex.Unlock()
	l.listener.group.Done()
}

// reset closes the connection with a TCP reset, without sending what is pending.
// The server gets an error at its next read or write and then calls Close.
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
