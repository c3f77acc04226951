package store

import (
	"testing"

	"bergamotworks/ports"
)

func BenchmarkMemoryCommit(b *testing.B) { commits(b, &Memory{}, 1<<10) }

func BenchmarkMemoryCommit64K(b *testing.B) { commits(b, &Memory{}, 64<<10) }

func BenchmarkClientCommit(b *testing.B) { overHTTP(b, 1<<10) }

func BenchmarkClientCommit64K(b *testing.B) { overHTTP(b, 64<<10) }

func overHTTP(b *testing.B, size int) {
	client, stop := serve(b, &Memory{})
	defer stop()
	commits(b, client, size)
}

func commits(b *testing.B, store ports.Store, size int) {
	b.ReportAllocs()
	value := make([]byte, size)
	for range b.N {
		_, err := store.Commit(b.Context(), ports.Txn{Then: []ports.Op{ports.Put{Key: "k", Value: value}}})
		if err != nil {
			b.Fatal(err)
		}
	}
}
