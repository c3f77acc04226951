package conf

import (
	"context"
	"fmt"
	"testing"

	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/store"
)

// fleetNote returns a note that adds the given number of targets in 23 failure
// domains.
func fleetNote(targets int) note.Note {
	const domains, services = 23, 10
	s := note.Sections{
		Domains:  map[string]note.FailureDomain{},
		Services: map[string]note.Service{},
		Targets:  map[string]note.Target{},
	}
	for i := range domains {
		s.Domains[fmt.Sprintf("domain-%d", i)] = note.FailureDomain{Region: "r"}
	}
	for i := range services {
		s.Services[fmt.Sprintf("service-%d", i)] = note.Service{Kind: note.Plain, ColdLimit: 1, WarmLimit: 8, TypicalMS: 10}
	}
	for i := range targets {
		s.Targets[fmt.Sprintf("target-%d", i)] = note.Target{
			Service: fmt.Sprintf("service-%d", i%services),
			Domain:  fmt.Sprintf("domain-%d", i/services%domains),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
		}
	}
	return note.Note{ID: "fleet", Added: s}
}

// BenchmarkPropagation measures a change of one target: its submission and the
// fetch of the changed part by a peer, with the bytes of both.
func BenchmarkPropagation(b *testing.B) {
	for _, targets := range []int{30, 670, 6700} {
		b.Run(fmt.Sprintf("targets-%d", targets), func(b *testing.B) { benchmarkPropagation(b, targets) })
	}
}

func benchmarkPropagation(b *testing.B, targets int) {
	c := newCluster(b)
	submitter, peer := newNode(c, "a"), newNode(c, "b")
	c.nodes = map[string]*node{"a": submitter, "b": peer}
	config, err := submitter.Submit(context.Background(), fleetNote(targets))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := peer.fetch(context.Background(), "a"); err != nil {
		b.Fatal(err)
	}
	full := c.bytes.Swap(0)
	stored := c.memory.BytesWritten()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n := note.Note{ID: fmt.Sprintf("n%d", i), BaseRevision: config.Revision}
		target := config.Sections.Targets["target-7"]
		target.State = note.State(2 * (i%2 + 1) % 4)
		n.Changed.Targets = map[string]note.Target{"target-7": target}
		if config, err = submitter.Submit(context.Background(), n); err != nil {
			b.Fatal(err)
		}
		if _, err := peer.fetch(context.Background(), "a"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(c.bytes.Load())/float64(b.N), "peer-bytes/op")
	b.ReportMetric(float64(full), "first-bytes")
	b.ReportMetric(float64(c.memory.BytesWritten()-stored)/float64(b.N), "store-bytes/op")
	b.ReportMetric(float64(largestValue(b, c.memory)), "largest-value-bytes")
}

func largestValue(b *testing.B, memory *store.Memory) int {
	response, err := memory.Range(context.Background(), ports.RangeRequest{Key: "bergamot/", Prefix: true})
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	for _, e := range response.Entries {
		size = max(size, len(e.Value))
	}
	return size
}
