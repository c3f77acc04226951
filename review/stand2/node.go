package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	frontPort   = "8625"
	readyPort   = "8621"
	controlPort = "8628"
	metricsPort = "9464"
	readyWait   = 15 * time.Second
)

// node is a node of the system, a process that the case has started.
type node struct {
	name, domain, ip string
	settings, log    string
	command          *exec.Cmd
	exited           chan struct{}
	startedAt        time.Time
}

func (n *node) front() string { return net.JoinHostPort(n.ip, frontPort) }

// start starts the process.
func (n *node) start(binary string) error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(binary, "relay", "-log-format", "json", "-settings", n.settings) //nolint:gosec // The program under test.
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERGAMOTWORKS_BOOT=" + n.settings}
	n.command.Stdout, n.command.Stderr = out, out
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited, n.startedAt = make(chan struct{}), time.Now()
	go n.run(out)
	return nil
}

// run waits for the end of the process.
func (n *node) run(out *os.File) {
	_ = n.command.Wait() // The case looks at the process only through its sockets.
	_ = out.Close()
	close(n.exited)
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// stop kills the process and waits for it.
func (n *node) stop() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// ready reports whether the node says that it is ready.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + net.JoinHostPort(n.ip, readyPort) + "/api/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// writeSettings writes the settings file as the deploy file's template has it.
func (n *node) writeSettings(dir, storeAddress string, seeds []string) error {
	n.settings = filepath.Join(dir, n.name+".conf")
	n.log = filepath.Join(dir, n.name+".log")
	var w bytes.Buffer
	fmt.Fprintf(&w, "vm %s\ndomain %s\nregion here\ncpu-share 0.4\ncpu-speed 1\nmemory-mb 284\nmax-descriptors 4100\n", n.name, n.domain)
	control := net.JoinHostPort(n.ip, controlPort)
	fmt.Fprintf(&w, "listen %s\nready-listen %s\nmetrics-listen %s\n", n.front(), net.JoinHostPort(n.ip, readyPort), net.JoinHostPort(n.ip, metricsPort))
	fmt.Fprintf(&w, "peer-listen %s\ngossip-listen %s\nseeds %s\nstore %s\n", control, control, strings.Join(seeds, ","), storeAddress)
	fmt.Fprint(&w, "stop-time 8s\nretry-share 0.2\nretry-slack 56\nretry-window 10s\ncold-factor 1.5\n")
	fmt.Fprint(&w, "contracts base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages\n")
	return os.WriteFile(n.settings, w.Bytes(), 0o600)
}
