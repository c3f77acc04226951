package peer

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
)

// BenchmarkStream measures a call that streams 128 chunks.
func BenchmarkStream(b *testing.B) {
	const chunkCount = 128
	server, client := benchmarkPair(b)
	defer func() { _ = server.Close(); _ = client.Close() }()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			received := 0
			var got string
			err := client.Stream(context.Background(), "b", "chunks", chunkCount, &got, func(json.RawMessage) { received++ })
			if err != nil || received != chunkCount {
				b.Errorf("%d chunks, %v", received, err)
				return
			}
		}
	})
}

func sendChunks(_ context.Context, request Request) (any, error) {
	count, err := strconv.Atoi(string(request.Params))
	if err != nil {
		return nil, err
	}
	for i := range count {
		if err := request.Send(i); err != nil {
			return nil, err
		}
	}
	return "done", nil
}
