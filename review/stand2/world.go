package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

const (
	nodeCount    = 8
	workerHost   = 3
	firstNodeIP  = 11
	readyPause   = 50 * time.Millisecond
	settleTime   = 3 * time.Second
	heartbeat    = 1200 * time.Millisecond
	routeHost    = "pule25.example"
	apiKey       = "9dnn2ctnfzs989anu6ws" //nolint:gosec // Of the stand-in.
	tenant       = "bozi300"
	configEntry  = "op/config"
	targetPrefix = "servers/"
)

// world is a small deployment: nodes, the store and targets.
type world struct {
	binary  string
	trouble bool
	dir     string // For the settings and the logs of the nodes.
	network string // First three numbers of the loopback addresses, with the final dot.
	record  *record
	store   *store
	nodes   []*node
	config  config
	results results
}

// record is the file that a case writes.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.4f  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// say writes a line to the record and to the output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func domains() []string { return []string{"qc-a", "qc-b", "qc-c"} }

// newWorld starts the store. The settings and logs are in a temporary folder.
func newWorld(recordDir string) (*world, error) {
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(recordDir, "record.txt")) //nolint:gosec // The folder of the case.
	if err != nil {
		return nil, err
	}
	w := &world{
		binary: os.Getenv("STAND2_BINARY"), trouble: os.Getenv("TROUBLE") != "0", dir: dir,
		network: fmt.Sprintf("127.%d.%d.", 64+os.Getpid()/250%128, 1+os.Getpid()%250),
		record:  &record{file: file, started: time.Now()}, results: results{byName: make(map[string]time.Time)},
	}
	if w.binary == "" {
		w.binary = "target/bergamotworks"
	}
	w.store, err = newStore(w.ip(1))
	return w, err
}

func (w *world) ip(host int) string { return w.network + strconv.Itoa(host) }

// startNodes starts nodes and waits until all of them are ready.
func (w *world) startNodes(count int) error {
	var seeds []string
	for i := range count {
		n := &node{name: fmt.Sprintf("edge-%d", i+1), domain: domains()[i%len(domains())], ip: w.ip(firstNodeIP + i)}
		w.nodes = append(w.nodes, n)
		if i < len(domains()) {
			seeds = append(seeds, n.ip+":"+controlPort)
		}
	}
	for _, n := range w.nodes {
		if err := n.writeSettings(w.dir, w.store.address, seeds); err != nil {
			return err
		}
		if err := n.start(w.binary); err != nil {
			return err
		}
	}
	return w.awaitReady(w.nodes)
}

func (w *world) awaitReady(nodes []*node) error {
	limit := time.Now().Add(readyWait)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder, unless STAND2_KEEP is set.
func (w *world) close() {
	for _, n := range w.nodes {
		n.stop()
	}
	_ = w.record.file.Close()
	if os.Getenv("STAND2_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// config is the configuration as operators write it.
type config struct {
	Version  int64          `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []account      `json:"tenants"`
}

type route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"prefix"`
	Kind      string  `json:"kind"`
	TimeoutMS int     `json:"timeoutMs"`
	SloMS     int     `json:"sloMs"`
	GapMS     int     `json:"targetGapMs"`
	Priority  int     `json:"priority"`
	Service   string  `json:"service"`
	Attempts  int     `json:"attempts"`
	Stages    []stage `json:"stages"`
	Public    bool    `json:"public"`
	Sticky    bool    `json:"sticky"`
	Resumable bool    `json:"resumable"`
}

type stage struct {
	Service string `json:"service"`
	After   []int  `json:"after"`
	Bytes   int    `json:"bytes"`
}

type service struct {
	Name       string    `json:"name"`
	HealthPath string    `json:"healthPath"`
	MaxConns   int       `json:"maxConns"`
	Protocol   string    `json:"protocol"`
	ColdS      float64   `json:"coldS"`
	ColdPerS   float64   `json:"coldPerS"`
	Segments   *segments `json:"segments,omitempty"`
}

type segments struct {
	Slots      int     `json:"slots"`
	Queue      int     `json:"queue"`
	Batch      int     `json:"batch"`
	CallMS     float64 `json:"callMs"`
	ItemMS     float64 `json:"itemMs"`
	HeadroomMB float64 `json:"headroomMb"`
	HandleS    float64 `json:"handleS"`
	LinkMbps   float64 `json:"linkMbps"`
}

type account struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

// newConfig returns a configuration with the limits of the small sites and one tenant.
func newConfig() config {
	return config{
		Version: oldVersion, Routes: []route{}, Services: []service{},
		Limits:  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 2000, "idleTimeoutMs": 15000},
		Tenants: []account{{Name: tenant, Keys: []string{apiKey}}},
	}
}
