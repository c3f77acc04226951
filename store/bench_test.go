package store

import (
	"testing"

	"bergamotworks/ports"
)

func BenchmarkMemoryCommit(b *testing.B) { benchmarkCommits(b, &Memory{}, 1<<10) }

func BenchmarkMemoryCommit64K(b *testing.B) { benchmarkCommits(b, &Memory{}, 64<<10) }

func BenchmarkClientCommit(b *testing.B) { benchmarkHTTP(b, 1<<10) }

func BenchmarkClientCommit64K(b *testing.B) { benchmarkHTTP(b, 64<<10) }

func benchmarkHTTP(b *testing.B, size int) {
	client, stop := startServer(b, &Memory{})
	defer stop()
	benchmarkCommits(b, client, size)
}

func benchmarkCommits(b *testing.B, store ports.Store, size int) {
	b.ReportAllocs()
	value := make([]byte, size)
	for range b.N {
		_, err := store.Commit(b.Context(), ports.Txn{Then: []ports.Op{ports.Put{Key: "k", Value: value}}})
		if err != nil {
			b.Fatal(err)
		}
	}
}
