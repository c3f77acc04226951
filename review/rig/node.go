package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// graceTime is the time between SIGTERM and SIGKILL.
const graceTime = 8 * time.Second

// restartDelay is the time after which the platform starts a process that has ended.
const restartDelay = 500 * time.Millisecond

// node is one process of the system on its own loopback address.
type node struct {
	fleet   *fleet
	name    string
	zone    string
	ip      string
	front   string
	store   string // Address under which it reaches the store.
	dir     string
	prefix  []string // Command that starts the program, for limits of descriptors.
	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{} // Closed when the process has ended.
	starts  int
	ends    int // Ends that nobody asked for.
	asked   bool
	ready   bool
	misses  int
	stopped bool
}

// fleet is all nodes of a run.
type fleet struct {
	rec    *record
	binary string
	ip     string // The first two numbers of the loopback addresses.
	ports  [3]int // Front, ready, control.
	nodes  []*node
	done   chan struct{}
	active sync.WaitGroup
}

// freePort returns a port that is free for TCP and UDP on a loopback address.
func freePort(ip string) int {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port
		}
	}
}

func newFleet(rec *record) (*fleet, error) {
	root, err := filepath.Abs(os.Getenv("ROOT"))
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, binary: filepath.Join(root, "target", "bergamotworks"), done: make(chan struct{})}
	f.ip = fmt.Sprintf("127.%d.%d", 64+rand.IntN(100), 1+rand.IntN(250))
	first := f.ip + ".1"
	f.ports = [3]int{freePort(first), freePort(first), freePort(first)}
	return f, nil
}

// add adds a node that reaches the store at the given address.
func (f *fleet) add(zone, storeAddress string) *node {
	at := len(f.nodes) + 1
	n := &node{fleet: f, name: fmt.Sprintf("edge-%s-%d", zone, at), zone: zone, ip: fmt.Sprintf("%s.%d", f.ip, at), store: storeAddress}
	n.front = fmt.Sprintf("%s:%d", n.ip, f.ports[0])
	f.nodes = append(f.nodes, n)
	return n
}

// start starts all nodes and the checks of their readiness.
func (f *fleet) start(dir string) error {
	for _, n := range f.nodes {
		n.dir = dir
		if err := n.start(); err != nil {
			return err
		}
	}
	f.active.Add(1)
	go f.checkReadiness()
	return nil
}

func (f *fleet) checkReadiness() {
	defer f.active.Done()
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-f.done:
			return
		case <-time.After(time.Second):
		}
		for _, n := range f.nodes {
			go n.checkReady(client)
		}
	}
}

func (n *node) checkReady(client *http.Client) {
	r, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", n.ip, n.fleet.ports[1]))
	ok := err == nil && r.StatusCode == 200
	if err == nil {
		_ = r.Body.Close()
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if ok {
		n.ready, n.misses = true, 0
		return
	}
	if n.misses++; n.misses >= 2 {
		n.ready = false
	}
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		all := true
		for _, n := range f.nodes {
			n.mutex.Lock()
			all = all && n.ready
			n.mutex.Unlock()
		}
		if all {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the nodes are not ready after %s", limit)
}

// inRotation returns the nodes that get new channels.
func (f *fleet) inRotation() []*node {
	var list []*node
	for _, n := range f.nodes {
		n.mutex.Lock()
		if n.ready {
			list = append(list, n)
		}
		n.mutex.Unlock()
	}
	if len(list) == 0 {
		return f.nodes
	}
	return list
}

// settings returns the settings file that deploy/settings.tmpl renders.
func (n *node) settings() string {
	p := n.fleet.ports
	var seeds []string
	for _, o := range n.fleet.nodes[:min(3, len(n.fleet.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", o.ip, p[2]))
	}
	lines := []string{
		"vm " + n.name, "domain " + n.zone, "region quebec", "cpu-share 0.4", "cpu-speed 1",
		fmt.Sprintf("listen %s:%d", n.ip, p[0]), fmt.Sprintf("ready-listen %s:%d", n.ip, p[1]), fmt.Sprintf("metrics-listen %s:9464", n.ip),
		fmt.Sprintf("peer-listen %s:%d", n.ip, p[2]), fmt.Sprintf("gossip-listen %s:%d", n.ip, p[2]),
		"seeds " + strings.Join(seeds, ","), "store " + n.store, "stop-time 8s", "retry-share 0.2", "retry-slack 56", "retry-window 10s", "cold-factor 1.5",
	}
	return strings.Join(lines, "\n") + "\n"
}

func (n *node) start() error {
	path := filepath.Join(n.dir, n.name+".conf")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := append(append([]string{}, n.prefix...), n.fleet.binary, "relay", "-log-format", "json", "-settings", path)
	c := exec.Command(args[0], args[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERGAMOTWORKS_BOOT=" + path}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.mutex.Lock()
	n.command, n.exited, n.asked = c, make(chan struct{}), false
	n.starts++
	exited := n.exited
	n.mutex.Unlock()
	n.fleet.rec.add("%s starts as process %d", n.name, c.Process.Pid)
	n.fleet.active.Add(1)
	go n.watch(c, exited, out)
	return nil
}

// watch waits for the end of the process and starts it again, as the platform does.
func (n *node) watch(c *exec.Cmd, exited chan struct{}, out *os.File) {
	defer n.fleet.active.Done()
	err := c.Wait()
	_ = out.Close()
	n.mutex.Lock()
	asked, stopped := n.asked, n.stopped
	n.ready = false
	if !asked && !stopped {
		n.ends++
	}
	n.mutex.Unlock()
	close(exited)
	if !asked && !stopped {
		n.fleet.rec.add("%s ENDS BY ITSELF: %v", n.name, err)
	} else {
		n.fleet.rec.add("%s has ended: %v", n.name, err)
	}
	select {
	case <-n.fleet.done:
		return
	case <-time.After(restartDelay):
	}
	if !n.isStopped() {
		if err := n.start(); err != nil {
			n.fleet.rec.add("%s does not start: %v", n.name, err)
		}
	}
}

func (n *node) isStopped() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.stopped
}

// signal sends a signal to the process; those that end it were asked for.
func (n *node) signal(s syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		n.asked = true
	}
	_ = n.command.Process.Signal(s)
	n.fleet.rec.add("%s gets %s", n.name, s)
}

// terminate sends SIGTERM, and SIGKILL after graceTime.
func (n *node) terminate() {
	n.mutex.Lock()
	exited := n.exited
	n.mutex.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime):
		n.signal(syscall.SIGKILL)
	}
}

// close kills all processes and waits for their ends.
func (f *fleet) close() {
	close(f.done)
	for _, n := range f.nodes {
		n.mutex.Lock()
		n.stopped = true
		if n.command != nil {
			_ = n.command.Process.Kill()
		}
		n.mutex.Unlock()
	}
	f.active.Wait()
}
