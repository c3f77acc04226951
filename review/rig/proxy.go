package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards channels. While it is cut, it resets all channels, old and new.
type proxy struct {
	address  string
	target   string
	listener net.Listener
	mutex    sync.Mutex
	cut      bool
	conns    map[net.Conn]struct{}
	listed   time.Time // Last call that lists workers.
}

func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]struct{}{}}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	if !p.keep(c) {
		reset(c)
		return
	}
	defer p.drop(c)
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() {
		_, _ = io.Copy(s, listObserver{proxy: p, source: c})
		_ = s.Close()
	}()
	_, _ = io.Copy(c, s)
}

// keep remembers a channel unless the proxy is cut.
func (p *proxy) keep(c net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.cut {
		p.conns[c] = struct{}{}
	}
	return !p.cut
}

func (p *proxy) drop(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// setCut cuts or restores the path.
func (p *proxy) setCut(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = cut
	for c := range p.conns {
		if cut {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// listObserver notes the calls that list workers.
type listObserver struct {
	proxy  *proxy
	source io.Reader
}

func (o listObserver) Read(b []byte) (int, error) {
	n, err := o.source.Read(b)
	if bytes.Contains(b[:n], []byte("kv-range?prefix=servers")) {
		o.proxy.mutex.Lock()
		o.proxy.listed = time.Now()
		o.proxy.mutex.Unlock()
	}
	return n, err
}

// lastList returns the time of the last call that lists workers.
func (p *proxy) lastList() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.listed
}
